// A Verdict is the project's one error type. It says in a word what
// happened, which HTTP status callers see, and above all whether the request
// may have run. It crosses nodes inside twirp errors, so that the node that
// knows is the one whose word reaches the caller.

package base

import (
	stderrors "errors"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
)

type Execution string

const (
	NotRun     Execution = "not_run"
	MayHaveRun Execution = "may_have_run"
	DidRun     Execution = "ran"
)

type RequestError struct {
	Status     int       `json:"status,omitempty"`
	Code       string    `json:"code"`
	Message    string    `json:"message"`
	Execution  Execution `json:"request"`
	Field      string    `json:"field,omitempty"`
	RetryAfter int       `json:"retry_after_s,omitempty"`
	// RetryAfterMs is the same to the millisecond, where it is known so well.
	RetryAfterMs   int64  `json:"retry_after_ms,omitempty"`
	CurrentVersion uint64 `json:"current_stamp,omitempty"`
	// Team and Model are what a refusal of access was decided on.
	Team  string `json:"team,omitempty"`
	Model string `json:"model,omitempty"`
}

func (v *RequestError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", v.Code, v.Message, v.Execution)
}

// Decline is a verdict that nothing ran and nothing will.
func Decline(status int, code, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Execution: NotRun}
}

// DeclineField declines bad input and names the field at fault.
func DeclineField(field, format string, args ...any) *RequestError {
	v := Decline(400, "bad_request", format, args...)
	v.Field = field
	return v
}

// Busy declines for now and says when to come back.
func Busy(status int, code string, after int, format string, args ...any) *RequestError {
	v := Decline(status, code, format, args...)
	v.RetryAfter = max(after, 1)
	return v
}

// BusyFor is Busy for a span known to the millisecond.
func BusyFor(status int, code string, after time.Duration, format string, args ...any) *RequestError {
	v := Busy(status, code, int((after+time.Second-1)/time.Second), format, args...)
	v.RetryAfterMs = max(1, after.Milliseconds())
	return v
}

// Indeterminate is a verdict that the request may have run.
func Indeterminate(status int, code, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Execution: MayHaveRun}
}

// NotSent marks a wire error raised before any byte left this node.
type NotSent struct{ Cause error }

func (e *NotSent) Error() string { return "not sent: " + e.Cause.Error() }
func (e *NotSent) Unwrap() error { return e.Cause }

// WasNotSent reports whether the error proves that the partner never got
// the message.
func WasNotSent(err error) bool {
	var notSent *NotSent
	return stderrors.As(err, &notSent)
}

const verdictMark = "fordseam"

// ToTwirpError turns an error into a twirp error that keeps the verdict's parts.
func ToTwirpError(err error) error {
	if err == nil {
		return nil
	}
	v, ok := errors.Cause(err).(*RequestError)
	if !ok {
		return twirp.InternalErrorWith(err)
	}
	te := twirp.NewError(twirp.FailedPrecondition, v.Message)
	for key, value := range map[string]string{
		verdictMark: v.Code, "ran": string(v.Execution), "status": strconv.Itoa(v.Status), "field": v.Field,
		"retry": strconv.Itoa(v.RetryAfter), "stamp": strconv.FormatUint(v.CurrentVersion, 10),
		"retry_ms": strconv.FormatInt(v.RetryAfterMs, 10),
	} {
		te = te.WithMeta(key, value)
	}
	return te
}

// ToRequestError gives back the verdict a partner sent. Any other failure is told
// apart only by whether a byte may have left.
func ToRequestError(err error) *RequestError {
	if err == nil {
		return nil
	}
	var v *RequestError
	if stderrors.As(err, &v) {
		return v
	}
	var te twirp.Error
	if stderrors.As(err, &te) && te.Meta(verdictMark) != "" {
		status, _ := strconv.Atoi(te.Meta("status"))
		retry, _ := strconv.Atoi(te.Meta("retry"))
		retryMs, _ := strconv.ParseInt(te.Meta("retry_ms"), 10, 64)
		stamp, _ := strconv.ParseUint(te.Meta("stamp"), 10, 64)
		return &RequestError{Status: status, Code: te.Meta(verdictMark), Message: te.Msg(), Execution: Execution(te.Meta("ran")),
			Field: te.Meta("field"), RetryAfter: retry, RetryAfterMs: retryMs, CurrentVersion: stamp}
	}
	if WasNotSent(err) {
		return Busy(503, "unreachable", 1, "the node could not be reached")
	}
	return Indeterminate(502, "reply_lost", "the reply was lost")
}

// IsCode reports whether the error is a verdict with that code.
func IsCode(err error, code string) bool {
	if err == nil {
		return false
	}
	return ToRequestError(err).Code == code
}
