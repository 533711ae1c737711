package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SocketOption sets an option of a socket that is about to connect.
type SocketOption func(fd int) error

// UserTimeout makes a connection fail once sent bytes were not acknowledged for so long.
func UserTimeout(timeout time.Duration) SocketOption {
	return func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}
}

// ReceiveBuffer bounds what the kernel receives before it is read. Where the kernel does not let it
// be set, its own bound stays.
func ReceiveBuffer(bytes int) SocketOption {
	return func(fd int) error {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		return nil
	}
}

// reuseAddress lets another process of the machine listen on the source port that the kernel
// chose for a connection.
func reuseAddress(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
}

// NewDialer returns a dialer with a timeout, whose connections keep no port from a listener.
func NewDialer(timeout time.Duration, options ...SocketOption) *net.Dialer {
	options = append(options, reuseAddress)
	return &net.Dialer{Timeout: timeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(fd uintptr) {
			for _, option := range options {
				if optionErr = option(int(fd)); optionErr != nil {
					return
				}
			}
		}); err != nil {
			return err
		}
		return optionErr
	}}
}
