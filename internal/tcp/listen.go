// Package tcp opens the TCP sockets of the programs. What a machine lacks for a moment, such as
// a port that another socket still holds, is waited for and never ends a process.
package tcp

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/retry"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// listenPauses are the pauses between tries to listen.
var listenPauses = retry.Pauses{First: 20 * time.Millisecond, Longest: 500 * time.Millisecond}

// The pause between two tries to accept doubles from the first to the longest.
const (
	firstAcceptPause   = 5 * time.Millisecond
	longestAcceptPause = 200 * time.Millisecond
)

// acceptWarningInterval is the least time between two warnings of a listener.
const acceptWarningInterval = time.Minute

// Listen listens on an address of the form ip:port. While the port is taken, the address is
// not there yet or the machine is short of descriptors or memory, it tries again until ctx
// ends. Accept on the listener likewise waits while no descriptor or memory is left.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	clock := base.NewRealClock()
	var listener net.Listener
	err := listenPauses.Until(ctx, func(before int) (again bool, err error) {
		listener, err = config.Listen(ctx, "tcp", addr)
		switch {
		case err == nil && before > 0:
			log.WithFields(log.Fields{"listen": addr, "after": clock.Now().String()}).Info("listening after a wait")
		case err != nil && !isTransient(err):
			return false, errors.Annotatef(err, "cannot listen on %s", addr)
		case err != nil && before == 0:
			log.WithField("listen", addr).WithError(err).Warn("cannot listen yet, trying again")
		}
		return err != nil, err
	})
	if err != nil {
		return nil, err
	}
	return &retryingListener{Listener: listener, clock: clock, closed: make(chan struct{})}, nil
}

// isTransient reports whether an error is about something that the machine may have again soon.
func isTransient(err error) bool {
	for _, number := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}

// retryingListener is a listener whose Accept fails only with an error that lasts.
type retryingListener struct {
	net.Listener
	clock       base.Clock
	closeOnce   sync.Once
	closed      chan struct{}
	nextWarning time.Duration // clock reading, used by Accept alone
}

// Accept returns the next connection. Servers take any of its errors as the end of the listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	pause := firstAcceptPause
	for {
		accepted, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return accepted, err
		}
		l.warn(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
		pause = min(2*pause, longestAcceptPause)
	}
}

// warn logs that connections have to wait, unless it did a short time ago.
func (l *retryingListener) warn(err error) {
	now := l.clock.Now()
	if now < l.nextWarning {
		return
	}
	l.nextWarning = now + acceptWarningInterval
	log.WithField("listen", l.Addr().String()).WithError(err).Warn("cannot accept connections, trying again")
}

// Close closes the listener and ends a pause of Accept.
func (l *retryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
