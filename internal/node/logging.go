package node

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fordseam/internal/asynclog"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// logFlushTimeout is how long a process that ends waits for the output of its log.
const logFlushTimeout = time.Second

// TextLog returns a handler that writes each record as a line of text.
func TextLog(output io.Writer) log.Handler { return text.New(output) }

// JSONLog returns a handler that writes each record as a JSON document.
func JSONLog(output io.Writer) log.Handler { return json.New(output) }

// asyncLog is the handler of the log once StartLogging was called.
var asyncLog *asynclog.Handler

// StartLogging directs a daemon's log to standard error. A reader that stops reading, or is
// gone, neither holds the daemon up nor ends it.
func StartLogging(format func(io.Writer) log.Handler) {
	signal.Ignore(syscall.SIGPIPE)
	asyncLog = asynclog.New(os.Stderr, format)
	log.SetHandler(asyncLog)
}

// flushLog waits until the log is written, unless its output does not take it in time.
func flushLog() {
	if asyncLog != nil {
		asyncLog.Flush(logFlushTimeout)
	}
}

// printError writes the error that ends a program to standard error, unless that does not
// take it in time.
func printError(program string, err error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		fmt.Fprintln(os.Stderr, program+":", err)
	}()
	select {
	case <-written:
	case <-time.After(logFlushTimeout):
	}
}
