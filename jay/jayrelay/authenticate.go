package jayrelay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayaccount"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaytraffic"
)

const (
	// maxConfirmWait limits how long a request with an unknown key waits for a read of the policy.
	maxConfirmWait = 300 * time.Millisecond
	// unconfirmedRetryAfter is the retry delay returned while the policy cannot be confirmed, the least
	// time between two reads of it.
	unconfirmedRetryAfter = time.Second
)

// Confirmer states how old the copy of the traffic policy is, and requests a read of the newest one.
type Confirmer interface {
	// Age returns the time since the store confirmed that the policy in force is the newest. A policy that
	// is loaded after the call is as new as that.
	Age() time.Duration
	// Confirm requests a read of the policy unless one was requested recently, and waits until it ends or
	// ctx ends.
	Confirm(ctx context.Context)
}

// alwaysConfirmed is the confirmer of a policy that is not copied from anywhere.
type alwaysConfirmed struct{}

// Age returns 0.
func (alwaysConfirmed) Age() time.Duration { return 0 }

// Confirm does nothing.
func (alwaysConfirmed) Confirm(context.Context) {}

// refusalReason is why a request got no account.
type refusalReason string

const (
	// reasonMissing means that the request has no key, reasonUnknown that its key is in no account.
	reasonMissing refusalReason = "missing"
	reasonUnknown refusalReason = "unknown"
	// reasonUnconfirmed means that the key is in no account of a copy of the policy that is too old.
	reasonUnconfirmed refusalReason = "unconfirmed"
)

// identity is the client account of a request.
type identity struct {
	// required is set if the policy has accounts.
	required bool
	// account is the account that holds the request's key, without a name if there is none.
	account jayaccount.Account
	// refused is why the request was refused, empty if it was not; age is the age of the policy then.
	refused refusalReason
	age     time.Duration
}

// authenticate finds the client account of the request. It returns the policy that applies to the
// request: the given one, or a newer one if that was loaded meanwhile.
func (x *exchange) authenticate(policy *jaytraffic.Policy) (*jaytraffic.Policy, error) {
	if x.identify(policy) {
		return policy, nil
	}
	digest := x.call.Key.Digest()
	check := jayaccount.Check{Apply: x.apply, Asked: x.unknownKeys.Contains(time.Now(), digest)}
	policy, found, err := x.identifyAgain(&check)
	if err == nil && !found && check.Verdict() == jayaccount.VerdictRead {
		ctx, cancel := context.WithTimeout(x.request.Context(), min(maxConfirmWait, time.Until(x.deadline)))
		x.confirmer.Confirm(ctx)
		cancel()
		check.Asked = true
		policy, found, err = x.identifyAgain(&check)
	}
	if err != nil || found {
		return policy, err
	}
	x.unknownKeys.Add(time.Now(), digest)
	if x.route.Public {
		return policy, nil
	}
	return policy, x.refuseKey(check)
}

// identifyAgain repeats the search with the policy that is in force now, and fills in its age. The age is
// taken first: a policy that comes into force in between is newer than the age states, never older.
func (x *exchange) identifyAgain(check *jayaccount.Check) (*jaytraffic.Policy, bool, error) {
	check.Age = x.confirmer.Age()
	policy := x.policies.Policy()
	if policy.Version != x.version {
		if err := x.match(policy); err != nil {
			return policy, false, err
		}
	}
	return policy, x.identify(policy), nil
}

// identify reports whether the policy lets the request pass without a further look at its key: it has no
// accounts, one of them holds the key, or the route is public and there is no key.
func (x *exchange) identify(policy *jaytraffic.Policy) bool {
	accounts := policy.Accounts()
	x.identity = identity{required: accounts != nil}
	if accounts == nil {
		return true
	}
	if x.call.Key == "" {
		return x.route.Public
	}
	account, ok := accounts.Find(x.call.Key)
	x.identity.account = account
	return ok
}

// refuseKey returns the refusal of a request whose key is missing or unknown.
func (x *exchange) refuseKey(check jayaccount.Check) error {
	x.identity.refused, x.identity.age = reasonUnknown, check.Age
	if x.call.Key == "" {
		x.identity.refused = reasonMissing
	}
	unconfirmed := check.Verdict() == jayaccount.VerdictUnconfirmed
	if unconfirmed {
		x.identity.refused = reasonUnconfirmed
	}
	x.series.Count("account_refusals_total", jaymetric.Label{Name: "reason", Value: string(x.identity.refused)})
	if unconfirmed {
		return x.refusal(unconfirmedRetryAfter, "the key is in no client account of this instance's traffic policy, which may be out of date")
	}
	x.writer.Header().Set("WWW-Authenticate", "Bearer")
	cause := &statusError{status: http.StatusUnauthorized, cause: errors.New("the request holds no key of a client account")}
	return jayerror.Wrap("authenticate", KindUnauthenticated, cause)
}

// accountFields returns the log fields of the request's account or, if its key was refused, of the refusal.
// A key is shown by the start of its digest only.
func (x *exchange) accountFields() []any {
	switch {
	case x.identity.refused != "":
		return []any{"reason", x.identity.refused, "key", x.call.Key.String(), "age", x.identity.age}
	case x.identity.account.Name != "":
		return []any{"account", x.identity.account.Name}
	default:
		return nil
	}
}
