package jayrelay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayadmit"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayplace"
)

// mayBeHeld reports whether the request may be held: it is a prompt in a policy with client accounts of
// which nothing has been sent to any upstream, nor received by the caller in an earlier response.
func (s *stream) mayBeHeld(w jayplace.Work) bool {
	return s.admission != nil && s.identity.required && w.Prompt && len(s.tried) == 0 && s.lastEventID == ""
}

// admissionRequest returns the description of the request for its admission.
func (s *stream) admissionRequest(w jayplace.Work, choice jayplace.Choice) jayadmit.Request {
	return jayadmit.Request{
		Service: w.Service, Account: w.Account, Priority: w.Priority, Target: w.Target, Deadline: s.deadline, Timeout: s.deadline.Sub(s.began),
		Tokens: jayadmit.Cost(choice.PrefillTokens, w.ExpectedOutputTokens), Bytes: len(s.body),
		Caller: xxhash.Sum64String(strings.Join(append([]string{w.Account, s.route.Name}, w.Parts...), "\x00")),
	}
}

// admitToEngine asks for admission. A caller that closed its connection meanwhile gets no response.
func (s *stream) admitToEngine(ctx context.Context, w jayplace.Work, choice jayplace.Choice) (jayplace.Choice, bool, error) {
	choice, started, err := s.admission.Admit(ctx, s.admissionRequest(w, choice), w, choice)
	if err != nil && s.request.Context().Err() != nil {
		err = jayerror.Wrap("admit", KindCallerGone, err)
	}
	return choice, started, err //nolint:wrapcheck // checkRetry distinguishes the causes.
}

// endPlacement ends the placement by admission, if there is one.
func (x *exchange) endPlacement() {
	if x.placed != "" {
		x.placer.EndPlacement(x.placed)
		x.placed = ""
	}
}

// refusedByAdmission returns the error for a request that was refused before it was sent, nil if that is
// not the cause.
func (x *exchange) refusedByAdmission(cause error, retryAfter time.Duration) error {
	switch {
	case jayerror.Is(cause, jayadmit.KindDeadline), jayerror.Is(cause, jayadmit.KindFull):
		return jayerror.Wrap("refuse", KindNotRun, &statusError{status: http.StatusTooManyRequests, retryAfter: retryAfter, cause: cause})
	case jayerror.Is(cause, jayadmit.KindStopping):
		return x.refusalDuringStop(time.Now(), x.others())
	default:
		return nil
	}
}
