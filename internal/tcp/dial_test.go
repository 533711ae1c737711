package tcp

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// dialTimeout is long enough for a connection on one machine.
const dialTimeout = 10 * time.Second

// choosePortLate lets the kernel choose the source port when a socket connects, as it does for
// one that is not bound.
func choosePortLate(fd int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
}

// TestSourcePortOfAConnectionCanBeListenedOn guards against a process that cannot start because
// a connection of another one has its port.
func TestSourcePortOfAConnectionCanBeListenedOn(t *testing.T) {
	is := is.New(t)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer peer.Close()
	dialer := NewDialer(dialTimeout, UserTimeout(dialTimeout), choosePortLate)
	// Sockets of other programs, which do not let others listen, may have ports of 127.0.0.1.
	dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 59, byte(1+os.Getpid()/250%250), byte(1+os.Getpid()%250))}
	conn, err := dialer.Dial("tcp", peer.Addr().String())
	is.NoErr(err)
	source := conn.LocalAddr().String()
	listener, err := net.Listen("tcp", source)
	is.NoErr(err)
	is.NoErr(listener.Close())
	is.NoErr(conn.Close()) // the socket stays in TIME_WAIT
	listener, err = net.Listen("tcp", source)
	is.NoErr(err)
	is.NoErr(listener.Close())
}
