package sender_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
	"unicode/utf8"

	"clementineyard/internal/sender"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nClementineyard-Not-Started: true\r\nContent-Length: 0\r\n\r\n"

// serve starts a server that reads one request of each connection and then calls handle. It returns the server's
// address.
func serve(t *testing.T, handle func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				handle(c)
			}()
		}
	}()
	return ln.Addr().String()
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	return ln.Addr().String()
}

func send(address string, timeout time.Duration) sender.Result {
	done := make(chan sender.Result, 1)
	sender.New().Send(sender.Attempt{
		Address: address, Service: "s", Task: "t", TaskID: "1", Payload: []byte("x"), Deadline: time.Now().Add(timeout),
	}, func(r sender.Result) { done <- r })
	return <-done
}

// A wrong verdict makes a task run twice or reports one that ran as not run. The cases are those of question 5 of the
// design.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		address func(t *testing.T) string
		timeout time.Duration
		want    sender.Verdict
	}{
		{"connection refused", closedPort, time.Second, sender.NotStarted},
		{"deadline already passed", closedPort, -time.Second, sender.NotStarted},
		{"explicit refusal", func(t *testing.T) string {
			return serve(t, func(c net.Conn) { write(c, refusal) })
		}, time.Second, sender.NotStarted},
		{"503 without the header", func(t *testing.T) string {
			return serve(t, func(c net.Conn) { write(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") })
		}, time.Second, sender.Answered},
		{"closed before the first byte of the answer", func(t *testing.T) string {
			return serve(t, func(net.Conn) {})
		}, time.Second, sender.MayHaveStarted},
		{"answer truncated", func(t *testing.T) string {
			return serve(t, func(c net.Conn) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc") })
		}, time.Second, sender.MayHaveStarted},
		{"answer malformed", func(t *testing.T) string {
			return serve(t, func(c net.Conn) { write(c, "no http\r\n\r\n") })
		}, time.Second, sender.MayHaveStarted},
		{"no answer in time", func(t *testing.T) string {
			unblock := make(chan struct{})
			t.Cleanup(func() { close(unblock) })
			return serve(t, func(net.Conn) { <-unblock })
		}, 50 * time.Millisecond, sender.MayHaveStarted},
		{"whole answer", func(t *testing.T) string {
			return serve(t, func(c net.Conn) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
		}, time.Second, sender.Answered},
		{"whole answer with an error status", func(t *testing.T) string {
			return serve(t, func(c net.Conn) { write(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n") })
		}, time.Second, sender.Answered},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := send(c.address(t), c.timeout); got.Verdict != c.want {
				t.Errorf("verdict %d, want %d (%v)", got.Verdict, c.want, got.Err)
			}
		})
	}
}

// By default the HTTP library retries requests whose connection closed early. The server must receive each task once.
func TestSentOnceWhenTheConnectionCloses(t *testing.T) {
	seen := make(chan struct{}, 10)
	address := serve(t, func(net.Conn) { seen <- struct{}{} })
	send(address, time.Second)
	if n := len(seen); n != 1 {
		t.Errorf("the server saw %d requests, want 1", n)
	}
}

// The server must receive the content type that the caller gave, and none if the caller gave none.
func TestContentTypeIsPassedOn(t *testing.T) {
	for _, want := range []string{"text/csv", ""} {
		got := make(chan string, 1)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("Content-Type") })}
		go func() { _ = s.Serve(ln) }()
		done := make(chan sender.Result, 1)
		sender.New().Send(sender.Attempt{
			Address: ln.Addr().String(), Service: "s", Task: "t", Payload: []byte("a,b"), ContentType: want,
			Deadline: time.Now().Add(10 * time.Second),
		}, func(r sender.Result) { done <- r })
		<-done
		if g := <-got; g != want {
			t.Errorf("the server saw Content-Type %q, want %q", g, want)
		}
		_ = s.Close()
	}
}

// Stop requests must reach a server even if all connections for tasks are in use.
func TestStopReachesABusyServer(t *testing.T) {
	unblock, running, stopped := make(chan struct{}), make(chan struct{}, sender.MaxConnections), make(chan string, sender.MaxConnections)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/stop" {
			stopped <- r.Header.Get(sender.HeaderTaskID)
			return
		}
		running <- struct{}{}
		<-unblock
	}))
	defer server.Close()
	defer close(unblock)
	address := server.Listener.Addr().String()
	s := sender.New()
	for range sender.MaxConnections {
		s.Send(sender.Attempt{Address: address, Service: "s", Task: "t", TaskID: "1", Deadline: time.Now().Add(time.Minute)}, func(sender.Result) {})
	}
	for range sender.MaxConnections {
		<-running
	}
	for i := range sender.MaxConnections {
		s.Stop(address, "key", strconv.Itoa(i))
	}
	seen := map[string]bool{}
	for range sender.MaxConnections {
		select {
		case id := <-stopped:
			seen[id] = true
		case <-time.After(5 * time.Second):
			t.Fatalf("the server was asked to stop %d tasks, want %d", len(seen), sender.MaxConnections)
		}
	}
	if len(seen) != sender.MaxConnections {
		t.Errorf("the server was asked to stop %d different tasks, want %d", len(seen), sender.MaxConnections)
	}
}

// TestContentTypeThatNoMessageCarries guards against an answer that is lost because its content type is not UTF-8.
func TestContentTypeThatNoMessageCarries(t *testing.T) {
	address := serve(t, func(c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Type: text/a\xff\r\nContent-Length: 2\r\n\r\nok")
	})
	r := send(address, 5*time.Second)
	if r.Verdict != sender.Answered || !utf8.ValidString(r.ContentType) || string(r.Body) != "ok" {
		t.Errorf("result %+v", r)
	}
}
