// Whether a node has read a request, as only the system knows it: on one
// machine the other side's socket is in the system's table, and bytes that
// come to a closed connection are answered by a reset.

package sockets

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// tableAddress writes an address as the system's table of sockets does.
func tableAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// readByPeer tells whether the other side has read all that was sent; where
// that cannot be seen, it has.
func readByPeer(conn net.Conn) bool {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return true
	}
	defer table.Close()
	theirs, mine := tableAddress(conn.RemoteAddr()), tableAddress(conn.LocalAddr())
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 4 && fields[1] == theirs && fields[2] == mine {
			_, waiting, _ := strings.Cut(fields[4], ":")
			return strings.Trim(waiting, "0") == ""
		}
	}
	return true
}

// resetSince tells whether the other side, which has closed, answered what was
// sent by a reset: it was closed before that came. Until one of them is there,
// the reset or the acknowledgement of all bytes, nothing is known.
func resetSince(conn net.Conn) (was bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	known := func() (known bool) {
		_ = raw.Control(func(fd uintptr) {
			// In this order: a reset notes its error before it empties the queue.
			queued, failed := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			code, _ := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
			was = code != 0
			known = was || failed != nil || queued == 0
		})
		return known
	}
	for end := time.Now().Add(time.Second); !known() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	return was
}
