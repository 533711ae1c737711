// Package signals receives the signals of a daemon: SIGTERM and SIGINT ask it to stop, SIGHUP
// is taken and changes nothing.
package signals

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// exitCodeBase is added to the number of the signal that ended a program, as shells do.
const exitCodeBase = 128

var (
	stop   = make(chan os.Signal, 1)
	hangup = make(chan os.Signal, 1)
)

// Hold takes all signals from now on, for Stop and Hangup. It may be called more than once.
var Hold = sync.OnceFunc(func() {
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangup, syscall.SIGHUP)
})

// Stop returns the channel of the signals that ask the daemon to stop. It keeps one.
func Stop() <-chan os.Signal {
	Hold()
	return stop
}

// Hangup returns the channel of hangups. It keeps one.
func Hangup() <-chan os.Signal {
	Hold()
	return hangup
}

// Release makes every signal end the program at once, for commands that are no daemons.
func Release() {
	go func() {
		number := syscall.SIGHUP
		select {
		case received := <-Stop():
			number, _ = received.(syscall.Signal)
		case <-Hangup():
		}
		os.Exit(exitCodeBase + int(number))
	}()
}
