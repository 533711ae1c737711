// Package tcp opens the TCP sockets of the programs. What a machine lacks for a moment, such as
// a port that another socket still holds, is waited for and never ends a process.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// The pause between two tries to listen doubles from the first to the longest.
const (
	firstListenPause   = 20 * time.Millisecond
	longestListenPause = 500 * time.Millisecond
)

// Listen listens on an address of the form ip:port. While the port is taken, the address is
// not there yet or the machine is short of descriptors or memory, it tries again until ctx
// ends.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	started, pause := time.Now(), firstListenPause
	for {
		listener, err := config.Listen(ctx, "tcp", addr)
		if err == nil {
			if pause > firstListenPause {
				log.WithFields(log.Fields{"listen": addr, "after": time.Since(started).String()}).Info("listening after a wait")
			}
			return listener, nil
		}
		if !passes(err) {
			return nil, errors.Annotatef(err, "cannot listen on %s", addr)
		}
		if pause == firstListenPause {
			log.WithField("listen", addr).WithError(err).Warn("cannot listen yet, trying again")
		}
		select {
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-time.After(pause):
		}
		pause = min(2*pause, longestListenPause)
	}
}

// passes reports whether an error is about something that the machine may have again soon.
func passes(err error) bool {
	for _, number := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}
