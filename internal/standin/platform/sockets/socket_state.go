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

// procNetAddr formats an IPv4 address as in /proc/net/tcp; it returns "" for any
// other address.
func procNetAddr(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// peerReadAll reports whether the peer has read all bytes that were sent to it. The
// peer runs on the same machine, so its socket's receive queue is listed in
// /proc/net/tcp. If it can't be found there, peerReadAll returns true.
func peerReadAll(conn net.Conn) bool {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return true
	}
	defer table.Close()
	remote, local := procNetAddr(conn.RemoteAddr()), procNetAddr(conn.LocalAddr())
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 4 && fields[1] == remote && fields[2] == local {
			_, receiveQueue, _ := strings.Cut(fields[4], ":")
			return strings.Trim(receiveQueue, "0") == ""
		}
	}
	return true
}

// peerReset reports whether the peer, which has closed the connection, responded to
// the bytes sent with a reset: then it had closed before they came. It waits up to
// a second for either the reset or the acknowledgement of all bytes, since the
// outcome is unknown until then.
func peerReset(conn net.Conn) (reset bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	settled := func() (settled bool) {
		_ = raw.Control(func(fd uintptr) {
			// The queue is read before the error, since the kernel sets the error of a
			// reset before it empties the queue.
			unacked, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			socketErr, _ := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
			reset = socketErr != 0
			settled = reset || ioctlErr != nil || unacked == 0
		})
		return settled
	}
	for deadline := time.Now().Add(time.Second); !settled() && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	return reset
}
