package platform

import "time"

// PromisesNotRun reports whether a status promises that the request has not run and never
// will.
func PromisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// isFinal reports whether a client never retries after an answer with this status.
func isFinal(status int) bool {
	switch status {
	case 400, 401, 404, 413, 431:
		return true
	}
	return status >= 200 && status < 300
}

// EndsProgram reports whether a turn's answer with this status ends its program at once.
func EndsProgram(status int) bool {
	switch status {
	case 400, 401, 402, 403, 404, 413:
		return true
	}
	return false
}

// ShouldRetry reports whether a client tries a request again, as the protocol says, and after
// which pause. The pause is the answer's Retry-After, at most a third of the time remaining
// to the deadline.
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

// StreamSilenceLimit returns how long a client waits for the next bytes of a stream.
func StreamSilenceLimit(targetLatency, gapTarget time.Duration) time.Duration {
	return max(2*time.Second, 4*targetLatency, 8*gapTarget)
}

// ReadTimeout returns how long a client waits for a node to read a repeatable request.
func ReadTimeout(remaining time.Duration) time.Duration { return min(time.Second, remaining/3) }

// ConnectTimeout is how long a client waits for a new connection.
const ConnectTimeout = time.Second

// MaxRedirects is how many 307 redirects an operator's call follows.
const MaxRedirects = 2

// OrderStep is what an operator does after a call: it is done, or repeats the call on another
// node.
type OrderStep int

const (
	OrderDone OrderStep = iota
	OrderRetry
)

// NextOrderStep returns what follows a call; status 0 stands for no definite answer, and calls
// counts the calls made so far. Other 4xx statuses end the order from the third call on.
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

// OrderBackoff returns the pause before the next call, which doubles from 100 ms up to 1 s.
func OrderBackoff(calls int) time.Duration {
	return min(time.Duration(50<<min(calls, 5))*time.Millisecond, time.Second)
}

// OrderTimeout returns how long an operator waits for an answer: 1 s, and 1 ms per KiB of the
// body.
func OrderTimeout(bodyBytes int) time.Duration {
	return time.Second + time.Duration(bodyBytes/1024)*time.Millisecond
}
