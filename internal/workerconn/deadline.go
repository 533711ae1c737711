package workerconn

import "time"

// deadlineIn returns the socket deadline that is timeout from now. Socket
// deadlines are wall-clock times, of which only the difference to now matters.
func deadlineIn(timeout time.Duration) time.Time { return time.Now().Add(timeout) }
