package acceptor

import "syscall"

// minBacklog is the least number of connections that may wait to be accepted, for bursts while the process is not scheduled.
const minBacklog = 128

// rawConn is the type that SyscallConn of a listener returns.
type rawConn = syscall.RawConn

// limitQueues bounds what the kernel holds for a process: the buffers of each connection, which accepted ones take over from the
// listener, and how many connections wait to be accepted. The platform counts what is unread as memory of the process. Errors are
// ignored, as not every system supports it; the bounds of the kernel then apply.
func limitQueues(ln interface{ SyscallConn() (rawConn, error) }, buffer, backlog int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		if buffer > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, buffer)
		}
		_ = syscall.Listen(int(fd), backlog)
	})
}
