package pipeliner

import (
	"net"

	"golang.org/x/sys/unix"
)

// isClosedByPeer reports whether the other side of a TCP connection has closed it. It does not consume data, and it
// detects the close behind data that has not been read.
func isClosedByPeer(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var revents int16
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(poll, 0); err == nil {
			revents = poll[0].Revents
		}
	})
	return err != nil || revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// limitSocketBuffers limits the memory of the kernel for a connection.
func limitSocketBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}
