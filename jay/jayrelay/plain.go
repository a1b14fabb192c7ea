package jayrelay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jaysink"
)

const (
	// maxResponseBytes limits the body of a response that is not streamed, since it is
	// buffered until it is complete.
	maxResponseBytes = 16 << 20
	// freeBytes is the size of a body or event that does not count for the memory of all of them.
	freeBytes = 8 << 10
	// bodyChunkBytes is the size of one read of a body.
	bodyChunkBytes = 16 << 10
)

// servePlain serves a request whose response is buffered and forwarded when complete.
func (x *exchange) servePlain(ctx context.Context) {
	x.budget.Earn(x.service)
	for {
		choice, err := x.placer.Choose(ctx, x.work())
		if err != nil {
			x.fail(x.giveUp(err))
			return
		}
		x.choice = choice
		resp, f := x.send(ctx, choice.Upstream, Send{Priority: -1, LastEventID: x.call.LastEventID})
		var answer body
		if f == nil {
			answer, f = x.readResponseBody(ctx, resp)
		}
		if f == nil {
			if err := x.forwardResponse(resp, answer); err != nil {
				x.fail(err)
				return
			}
			x.log.With(x.accountFields()...).Log(ctx, jaysink.LevelRoutine, "request served", jaysink.KeyRequest, x.call.ID, "route", x.route.Name,
				"service", x.service, "policy", x.version, "upstream", choice.Upstream.ID, "status", resp.Status,
				"wait", choice.Wait, "sends", x.sends, "target", x.route.Target, "took", time.Since(x.began))
			return
		}
		if err := x.checkRetry(ctx, f); err != nil {
			if f.response != nil && ctx.Err() == nil {
				if err := x.forwardResponse(f.response, f.body); err != nil {
					x.fail(err)
				}
				return
			}
			x.fail(err)
			return
		}
	}
}

// readResponseBody reads the complete response body. A 5xx response to a request that
// may run again is a failure as long as attempts, sends and more than a quarter of the
// route's timeout are left to try another upstream.
func (x *exchange) readResponseBody(ctx context.Context, resp *upstreamResponse) (body, *failure) {
	answer, err := x.buffer(resp.Body, x.bodyLength(resp))
	if err != nil {
		resp.Close()
		f := x.exchangeFailure(ctx, err)
		x.countInvalid(resp.upstream.ID, err)
		x.recordResponse(resp, f.outcome)
		return nil, f
	}
	resp.Complete()
	if resp.Status < http.StatusInternalServerError {
		x.recordResponse(resp, jayplace.OutcomeServed)
		return answer, nil
	}
	x.recordResponse(resp, jayplace.OutcomeFailed)
	if x.route.Repeatable() && x.runs+1 < x.route.Attempts && x.sends < maxSends && time.Until(x.deadline) > x.route.Timeout/4 {
		return nil, &failure{cause: errors.Errorf("upstream failed with %d", resp.Status), ran: true, outcome: jayplace.OutcomeFailed, response: resp, body: answer}
	}
	return answer, nil
}

// bodyLength returns the announced length of a response's body, -1 if there is none. A response to HEAD and those
// with status 204 and 304 announce the length of a body that does not follow (RFC 9110, section 8.6).
func (x *exchange) bodyLength(resp *upstreamResponse) int64 {
	if x.request.Method == http.MethodHead || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified {
		return 0
	}
	return resp.Length
}

// writeBody writes a complete body to the caller.
func (x *exchange) writeBody(answer body) error {
	for _, part := range answer {
		if err := x.write(part, false); err != nil {
			return err
		}
	}
	return nil
}

// body is a response body in parts, so that a growing body is not copied.
type body [][]byte

// size returns the size of a body in bytes.
func (b body) size() int {
	n := 0
	for _, part := range b {
		n += len(part)
	}
	return n
}

// buffer reads a body until its end. The length is the announced one, -1 if there is none. The body takes memory
// until it is discarded; the one before it is discarded, and so is one that cannot be read.
func (x *exchange) buffer(source io.Reader, length int64) (body, error) {
	x.discardResponseBody()
	x.response = x.memory.ShareOf(&x.held, freeBytes)
	answer, err := x.readBody(source, length)
	if err != nil {
		x.discardResponseBody()
	}
	return answer, err
}

// discardResponseBody returns the memory of the body of the latest response.
func (x *exchange) discardResponseBody() {
	if x.response != nil {
		x.response.Release()
	}
}

// readBody reads a body, for which buffer has made a share.
func (x *exchange) readBody(source io.Reader, length int64) (body, error) {
	var parts body
	if length > maxResponseBytes {
		return nil, errors.Errorf("answer of %d bytes is larger than %d bytes", length, maxResponseBytes)
	}
	// With memory for its first part only, a response would keep others from being completed.
	if length > 0 && !x.grow(x.response, length) {
		return nil, errors.WithStack(errNoMemory)
	}
	for size := 0; size <= maxResponseBytes; {
		next := int64(bodyChunkBytes)
		if left := length - int64(size); left >= 0 {
			// One more byte finds the end of the body without another part.
			next = min(next, left+1)
		} else if size == 0 {
			next = freeBytes
		}
		part := make([]byte, next)
		n, err := fill(source, part)
		size += n
		if n > 0 {
			parts = append(parts, part[:n])
		}
		switch {
		case length < 0 && !x.grow(x.response, int64(n)):
			return nil, errors.WithStack(errNoMemory)
		case errors.Is(err, io.EOF):
			return parts, nil
		case err != nil:
			return nil, errors.WithStack(err)
		}
	}
	return nil, errors.Errorf("answer is larger than %d bytes", maxResponseBytes)
}

// fill reads until the buffer is full or the source returns an error. Unlike io.ReadFull it returns the error of
// the source, which tells the end of a body from a body that was cut off.
func fill(source io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := source.Read(buffer[n:])
		if n += m; err != nil {
			return n, err //nolint:wrapcheck // The caller depends on io.EOF.
		}
	}
	return n, nil
}

// forwardResponse sends an upstream's complete response to the caller. It returns an error only if the request
// is ended meanwhile for lack of memory.
func (x *exchange) forwardResponse(resp *upstreamResponse, answer body) error {
	copyHeader(x.writer.Header(), resp.Header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(answer.size()))
	x.markHeaderSent()
	x.writer.WriteHeader(resp.Status)
	if x.request.Method != http.MethodHead {
		// The HTTP server detects a closed connection.
		if err := x.writeBody(answer); jayerror.Is(err, KindEnded) {
			return err
		}
	}
	x.metrics.Add(jaymetric.Completed, 1)
	x.recordResult(resultServed)
	return nil
}
