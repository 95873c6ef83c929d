package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// unreadRequestTime bounds how long a planned stop waits for connections on which nothing has been read yet.
	unreadRequestTime = time.Second
	// backlogPollTime is how long the backlog must be empty before the listener closes.
	backlogPollTime = 10 * time.Millisecond
	// maxBacklogTime is how long the backlog may take to become empty during a planned stop. After that the listener closes as
	// soon as no connection waits for lastAcceptTime.
	maxBacklogTime = time.Second
	lastAcceptTime = time.Millisecond
)

// backlogListener accepts the connections that wait in the backlog before it closes. A busy VM accepts late, and closing the
// socket would reset connections on which clients have sent their requests.
type backlogListener struct {
	*net.TCPListener

	mu sync.Mutex
	// closeBy is when the listener begins to close even if clients keep connecting; zero until Close.
	closeBy time.Time
}

// Accept returns the next connection, also after Close while one waits.
func (l *backlogListener) Accept() (net.Conn, error) {
	for {
		closing, err := l.renewDeadline()
		if err != nil {
			return nil, err
		}
		conn, err := l.TCPListener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case closing:
			_ = l.TCPListener.Close()
			return nil, net.ErrClosed
		}
	}
}

// renewDeadline sets the deadline of the next Accept after Close, and reports whether Close was called.
func (l *backlogListener) renewDeadline() (closing bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeBy.IsZero() {
		return false, nil
	}
	// With a deadline that has passed, Accept would not return the connections that wait.
	now := time.Now()
	wait := min(backlogPollTime, max(l.closeBy.Sub(now), lastAcceptTime))
	return true, l.SetDeadline(now.Add(wait))
}

// Close lets Accept close the listener once no connection waits. It does not wait for that.
func (l *backlogListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.closeBy = now.Add(maxBacklogTime)
	// An Accept that waits returns, and renews its deadline.
	return l.SetDeadline(now)
}

// drainingServer serves HTTP so that a planned stop answers all requests that clients have sent: http.Server.Shutdown drops
// those that it has not accepted or read yet.
type drainingServer struct {
	*http.Server

	listener *backlogListener
	// admit returns the listener from which connections are accepted; unless nil, it wraps listener.
	admit func(net.Listener) net.Listener
	// served is closed when no connection is accepted any more.
	served chan struct{}

	mu sync.Mutex
	// unread holds the connections on which nothing has been read.
	unread map[net.Conn]bool
}

// newDrainingServer returns a server for the connections of ln.
func newDrainingServer(server *http.Server, ln *net.TCPListener) *drainingServer {
	s := &drainingServer{Server: server, listener: &backlogListener{TCPListener: ln}, served: make(chan struct{}), unread: map[net.Conn]bool{}}
	noteState := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		s.noteState(conn, state)
		if noteState != nil {
			noteState(conn, state)
		}
	}
	return s
}

func (s *drainingServer) noteState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unread[conn] = true
		return
	}
	delete(s.unread, conn)
}

// Run serves until Drain is called. It returns the error with which it ended otherwise.
func (s *drainingServer) Run() error {
	defer close(s.served)
	var ln net.Listener = s.listener
	if s.admit != nil {
		ln = s.admit(ln)
	}
	if err := s.Serve(ln); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain closes the listener once its backlog is empty, reads what clients have sent, and shuts the server down when all
// requests are answered or ctx is done. Its error is that of Shutdown.
func (s *drainingServer) Drain(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	for readBy := time.Now().Add(unreadRequestTime); s.hasUnread() && time.Now().Before(readBy) && ctx.Err() == nil; {
		time.Sleep(backlogPollTime)
	}
	return s.Shutdown(ctx)
}

func (s *drainingServer) hasUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unread) > 0
}
