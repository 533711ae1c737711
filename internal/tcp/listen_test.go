package tcp

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"

	"fordseam/internal/base"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// logWatcher is a log handler that tells when a message is logged.
type logWatcher struct {
	memory.Handler
	message string
	logged  chan struct{}
}

// HandleLog closes the channel with the first record of the message.
func (w *logWatcher) HandleLog(entry *log.Entry) error {
	if strings.HasPrefix(entry.Message, w.message) {
		select {
		case <-w.logged:
		default:
			close(w.logged)
		}
	}
	return w.Handler.HandleLog(entry)
}

// watchLog directs the log to a watcher until the test ends.
func watchLog(t *testing.T, message string) *logWatcher {
	watcher := &logWatcher{message: message, logged: make(chan struct{})}
	former := log.Log.(*log.Logger).Handler
	log.SetHandler(watcher)
	t.Cleanup(func() { log.SetHandler(former) })
	return watcher
}

// TestListenWaitsForAHeldPort guards against a process that ends because a port is taken.
func TestListenWaitsForAHeldPort(t *testing.T) {
	is := is.New(t)
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	watcher := watchLog(t, "cannot listen yet")
	go func() {
		<-watcher.logged
		_ = holder.Close()
	}()
	listener, err := Listen(t.Context(), holder.Addr().String())
	is.NoErr(err)
	is.NoErr(listener.Close())
}

// TestListenEndsWithItsContext guards against a wait that a stop does not end.
func TestListenEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer holder.Close()
	ctx, cancel := context.WithCancel(t.Context())
	watcher := watchLog(t, "cannot listen yet")
	go func() {
		<-watcher.logged
		cancel()
	}()
	_, err = Listen(ctx, holder.Addr().String())
	is.True(errors.Is(err, context.Canceled))
}

// TestListenRefusesAnInvalidAddress checks that an error that lasts is returned at once.
func TestListenRefusesAnInvalidAddress(t *testing.T) {
	is := is.New(t)
	_, err := Listen(t.Context(), "127.0.0.1:70000")
	is.True(err != nil)
}

// scarceListener is a listener that fails with an error before each connection.
type scarceListener struct {
	net.Listener
	failures []error
}

// Accept returns the next error, or a connection once there is none.
func (l *scarceListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return &net.TCPConn{}, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

// Addr returns the address for the log.
func (l *scarceListener) Addr() net.Addr { return &net.TCPAddr{} }

// Close does nothing.
func (l *scarceListener) Close() error { return nil }

// TestAcceptWaitsForDescriptors guards against listeners that end for good with the first
// connection for which no descriptor is left.
func TestAcceptWaitsForDescriptors(t *testing.T) {
	is := is.New(t)
	failures := []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, &net.OpError{Op: "accept", Err: syscall.ENFILE}, syscall.ENOBUFS, syscall.ENOMEM}
	listener := &retryingListener{clock: base.NewRealClock(), Listener: &scarceListener{failures: failures}, closed: make(chan struct{})}
	_, err := listener.Accept()
	is.NoErr(err)
	listener = &retryingListener{clock: base.NewRealClock(), Listener: &scarceListener{failures: []error{net.ErrClosed}}, closed: make(chan struct{})}
	_, err = listener.Accept()
	is.Equal(err, net.ErrClosed)
	listener = &retryingListener{clock: base.NewRealClock(), Listener: &scarceListener{failures: failures[:1]}, closed: make(chan struct{})}
	is.NoErr(listener.Close())
	_, err = listener.Accept()
	is.Equal(err, net.ErrClosed)
}
