// Package socket asks the kernel about the state of sockets without reading from them.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of an open connection as far as it can be seen without reading.
type State int

// States of a connection.
const (
	// Closed connections were closed by the peer or have failed, or their state is not known.
	Closed State = iota
	// Idle connections are open and have nothing to read.
	Idle
	// Readable connections hold bytes that were not read yet.
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

// Pending reports whether connections wait to be accepted.
func Pending(listener net.Listener) bool {
	pending := false
	control(listener, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// control calls f with the descriptor of a socket, unless it is closed already.
func control(socket any, f func(fd int)) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the socket is closed, which is what the callers take it for.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
