package acceptor

import (
	"errors"
	"syscall"
)

// SyscallConn returns the raw connection, with which callers can learn whether the client has closed it.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}
