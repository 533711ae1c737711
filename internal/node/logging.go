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
	"github.com/go-logfmt/logfmt"
	"golang.org/x/sys/unix"
)

// logFlushTimeout is how long a process that ends waits for the output of its log.
const logFlushTimeout = time.Second

// TextLog returns a handler that writes each record as a line of text: with colours if the log
// goes to a terminal, and otherwise as key=value pairs.
func TextLog(output io.Writer) log.Handler {
	if isTerminal(os.Stderr) {
		return text.New(output)
	}
	return keyValueLog(output)
}

// isTerminal reports whether a file is a terminal.
func isTerminal(file *os.File) bool {
	raw, err := file.SyscallConn()
	if err != nil {
		return false
	}
	terminal := false
	err = raw.Control(func(fd uintptr) {
		_, ioctlErr := unix.IoctlGetTermios(int(fd), unix.TCGETS)
		terminal = ioctlErr == nil
	})
	return err == nil && terminal
}

// keyValueLog returns a handler that writes each record as a line of key=value pairs.
func keyValueLog(output io.Writer) log.Handler {
	return log.HandlerFunc(func(entry *log.Entry) error {
		pairs := []any{"level", entry.Level.String(), "message", entry.Message}
		for _, name := range entry.Fields.Names() {
			pairs = append(pairs, name, fmt.Sprint(entry.Fields.Get(name)))
		}
		line, err := logfmt.MarshalKeyvals(pairs...)
		if err != nil {
			return err
		}
		_, err = output.Write(append(line, '\n'))
		return err
	})
}

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
