// Package socket asks the kernel about the state of sockets without reading from them.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as far as the kernel reports it without a read.
type State int

// States of a connection.
const (
	// Closed connections were closed by either side or have failed, or their state is unknown.
	Closed State = iota
	// Idle connections are open and have no bytes to read.
	Idle
	// Readable connections have received bytes that were not read yet.
	Readable
)

// StateOf returns the state of a connection.
func StateOf(conn net.Conn) State {
	state := Closed
	control(conn, func(fd int) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	return state
}

// Pending reports whether a listener has connections that were not accepted yet.
func Pending(listener net.Listener) bool {
	pending := false
	control(listener, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// control calls f with the file descriptor of a socket, unless the socket is closed or has no descriptor.
func control(socket any, f func(fd int)) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the socket is closed. f is not called then, and the callers keep the result for a closed
	// socket.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
