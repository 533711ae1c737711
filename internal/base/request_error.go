package base

import (
	stderrors "errors"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
)

// Execution says whether a request was executed.
type Execution string

const (
	NotRun     Execution = "not_run"
	MayHaveRun Execution = "may_have_run"
	DidRun     Execution = "ran"
)

// RequestError is the error type of this project: an HTTP status, an error code,
// and above all whether the request may have been executed. It passes between
// nodes as a twirp error, so that the caller gets it from the node that knows
// what happened.
type RequestError struct {
	// Status is the HTTP status for the caller.
	Status    int       `json:"status,omitempty"`
	Code      string    `json:"code"`
	Message   string    `json:"message"`
	Execution Execution `json:"request"`
	Field     string    `json:"field,omitempty"`
	// RetryAfter is in seconds; 0 if there is no advice.
	RetryAfter int `json:"retry_after_s,omitempty"`
	// RetryAfterMs is RetryAfter in milliseconds, where it is known that exactly.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// CurrentVersion is the version in force, where the request conflicts with it
	// or was decided by it.
	CurrentVersion uint64 `json:"current_stamp,omitempty"`
	// Team and Model are those that an access check denied.
	Team  string `json:"team,omitempty"`
	Model string `json:"model,omitempty"`
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Execution)
}

// Decline returns an error for a request that was not and will not be executed.
func Decline(status int, code, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Execution: NotRun}
}

// DeclineField rejects invalid input and names the field.
func DeclineField(field, format string, args ...any) *RequestError {
	e := Decline(400, "bad_request", format, args...)
	e.Field = field
	return e
}

// Busy rejects a request for now and says after how many seconds to retry.
func Busy(status int, code string, retryAfter int, format string, args ...any) *RequestError {
	e := Decline(status, code, format, args...)
	e.RetryAfter = max(retryAfter, 1)
	return e
}

// BusyFor is Busy with a time known to the millisecond.
func BusyFor(status int, code string, retryAfter time.Duration, format string, args ...any) *RequestError {
	e := Busy(status, code, int((retryAfter+time.Second-1)/time.Second), format, args...)
	e.RetryAfterMs = max(1, retryAfter.Milliseconds())
	return e
}

// Indeterminate returns an error for a request that may have been executed.
func Indeterminate(status int, code, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Execution: MayHaveRun}
}

// NotSent wraps a network error that occurred before any byte was sent.
type NotSent struct{ Cause error }

func (e *NotSent) Error() string { return "not sent: " + e.Cause.Error() }
func (e *NotSent) Unwrap() error { return e.Cause }

// WasNotSent reports whether the error proves that the other node never received
// the message.
func WasNotSent(err error) bool {
	var notSent *NotSent
	return stderrors.As(err, &notSent)
}

// codeKey is the metadata key of a twirp error under which the code is sent. It
// also marks the twirp errors that stand for a RequestError.
const codeKey = "fordseam"

// ToTwirpError converts an error for sending to another node. The fields of a
// RequestError go into the metadata of the twirp error.
func ToTwirpError(err error) error {
	if err == nil {
		return nil
	}
	requestErr, ok := errors.Cause(err).(*RequestError)
	if !ok {
		return twirp.InternalErrorWith(err)
	}
	twirpErr := twirp.NewError(twirp.FailedPrecondition, requestErr.Message)
	for key, value := range map[string]string{
		codeKey: requestErr.Code, "ran": string(requestErr.Execution), "status": strconv.Itoa(requestErr.Status), "field": requestErr.Field,
		"retry": strconv.Itoa(requestErr.RetryAfter), "stamp": strconv.FormatUint(requestErr.CurrentVersion, 10),
		"retry_ms": strconv.FormatInt(requestErr.RetryAfterMs, 10),
	} {
		twirpErr = twirpErr.WithMeta(key, value)
	}
	return twirpErr
}

// ToRequestError returns the RequestError that err wraps or that another node sent
// as a twirp error. For any other failure the result depends only on whether a
// byte may have been sent.
func ToRequestError(err error) *RequestError {
	if err == nil {
		return nil
	}
	var requestErr *RequestError
	if stderrors.As(err, &requestErr) {
		return requestErr
	}
	var twirpErr twirp.Error
	if stderrors.As(err, &twirpErr) && twirpErr.Meta(codeKey) != "" {
		status, _ := strconv.Atoi(twirpErr.Meta("status"))
		retry, _ := strconv.Atoi(twirpErr.Meta("retry"))
		retryMs, _ := strconv.ParseInt(twirpErr.Meta("retry_ms"), 10, 64)
		stamp, _ := strconv.ParseUint(twirpErr.Meta("stamp"), 10, 64)
		return &RequestError{Status: status, Code: twirpErr.Meta(codeKey), Message: twirpErr.Msg(), Execution: Execution(twirpErr.Meta("ran")),
			Field: twirpErr.Meta("field"), RetryAfter: retry, RetryAfterMs: retryMs, CurrentVersion: stamp}
	}
	if WasNotSent(err) {
		return Busy(503, "unreachable", 1, "the node could not be reached")
	}
	return Indeterminate(502, "reply_lost", "the reply was lost")
}

// IsCode reports whether the error is a RequestError with that code.
func IsCode(err error, code string) bool {
	if err == nil {
		return false
	}
	return ToRequestError(err).Code == code
}
