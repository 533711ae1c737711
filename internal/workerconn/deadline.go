package workerconn

import "time"

// after is a moment for a socket's deadline: sockets take the machine's time,
// of which only the difference to now counts.
func after(limit time.Duration) time.Time { return time.Now().Add(limit) }
