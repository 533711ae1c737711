// When clients and operators try again, exactly as the protocol says. Nothing
// here waits or sends.

package platform

import "time"

// PromisesNotRun says that a status promises that the request has not run and never
// will.
func PromisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func isFinal(status int) bool {
	switch status {
	case 400, 401, 404, 413, 431:
		return true
	}
	return status >= 200 && status < 300
}

// EndsProgram says that a turn's answer ends its program at once.
func EndsProgram(status int) bool {
	switch status {
	case 400, 401, 402, 403, 404, 413:
		return true
	}
	return false
}

// ShouldRetry tells whether a client makes one more try of a request, and after
// what pause; further is how many tries it still has, left the time to its
// deadline.
func ShouldRetry(t *Try, retriesLeft int, remaining time.Duration) (retry bool, pause time.Duration) {
	answered := t.Status != 0 && t.Complete && t.Garbage == ""
	if retriesLeft <= 0 || remaining <= 0 || answered && isFinal(t.Status) || answered && t.Program != "" && EndsProgram(t.Status) {
		return false, 0
	}
	notRun := answered && PromisesNotRun(t.Status) || t.Unread
	if !t.Repeatable() && !notRun {
		return false, 0
	}
	if answered && t.RetryAfter > 0 {
		pause = min(t.RetryAfter, remaining/3)
	}
	return true, pause
}

// StreamSilenceLimit is how long a client bears a stream without a word.
func StreamSilenceLimit(targetLatency, gapTarget time.Duration) time.Duration {
	return max(2*time.Second, 4*targetLatency, 8*gapTarget)
}

// ReadTimeout is how long a client waits for a node to read a repeatable request.
func ReadTimeout(remaining time.Duration) time.Duration { return min(time.Second, remaining/3) }

// ConnectTimeout is what a new connection is given to come up.
const ConnectTimeout = time.Second

// MaxRedirects is how many 307s callers of control follow.
const MaxRedirects = 2

// OrderStep is what an operator does after one answer to an order: 0 stands
// for no clear answer.
type OrderStep int

const (
	OrderDone OrderStep = iota
	OrderRetry
)

// NextOrderStep decides after a call; tries counts the calls made.
func NextOrderStep(status, calls int) OrderStep {
	switch {
	case status >= 200 && status < 300:
		return OrderDone
	case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
		return OrderDone
	case status == 408 || status == 429:
		return OrderRetry
	case status >= 400 && status < 500 && calls >= 3:
		return OrderDone
	}
	return OrderRetry
}

// OrderBackoff grows with each call that failed.
func OrderBackoff(calls int) time.Duration {
	return min(time.Duration(50<<min(calls, 5))*time.Millisecond, time.Second)
}

// OrderTimeout is the silence an operator bears, more for large bodies.
func OrderTimeout(bytes int) time.Duration {
	return time.Second + time.Duration(bytes/1024)*time.Millisecond
}
