package tcp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// dialTimeout is long enough for a connection on one machine.
const dialTimeout = 10 * time.Second

// TestSourcePortOfAConnectionCanBeListenedOn guards against a process that cannot start because
// a connection of another one has its port.
func TestSourcePortOfAConnectionCanBeListenedOn(t *testing.T) {
	is := is.New(t)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer peer.Close()
	conn, err := NewDialer(dialTimeout, UserTimeout(dialTimeout)).Dial("tcp", peer.Addr().String())
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
