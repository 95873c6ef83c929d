package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const testBodyLimit = 4 << 10

// testServer serves HTTP under a small budget and records the bodies that its handler received in full.
type testServer struct {
	acceptor *Acceptor
	address  string

	mu     sync.Mutex
	bodies []string
	counts map[string]int64
}

func (s *testServer) record(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies = append(s.bodies, string(body))
}

func (s *testServer) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.bodies...)
}

// newTestServer serves with net/http or with fasthttp.
func newTestServer(t testing.TB, limits Limits, fast bool) *testServer {
	s := &testServer{counts: map[string]int64{}}
	s.acceptor = New(Config{Limits: limits, Log: slog.New(slog.DiscardHandler), Count: func(name string, delta int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts[name] += delta
	}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.acceptor.Run(ctx)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s.address = ln.Addr().String()
	admitted := s.acceptor.Listen(ln, Requests)
	if fast {
		server := &fasthttp.Server{
			Handler:      func(ctx *fasthttp.RequestCtx) { s.record(ctx.PostBody()) },
			ErrorHandler: func(ctx *fasthttp.RequestCtx, _ error) { ctx.SetStatusCode(fasthttp.StatusBadRequest) },
			Logger:       discardLogger{},
		}
		ServeFastHTTP(server, func(*fasthttp.RequestHeader) int { return testBodyLimit })
		go func() { _ = server.Serve(admitted) }()
		return s
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, replace, err := ReadBody(w, r, testBodyLimit)
		if err != nil {
			// Without this, net/http waits for the rest of the body before it answers.
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.record(body)
		replace(0)
	})}
	ServeHTTP(server)
	go func() { _ = server.Serve(admitted) }()
	return s
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func testLimits() Limits {
	l := Limits{Bytes: 16 << 10, StallTime: time.Minute, RequestTime: time.Minute}
	l.Connections[Requests] = 100
	return l
}

// held returns what the budget counts.
func (s *testServer) held() (bytes int64, connections int) {
	s.acceptor.mu.Lock()
	defer s.acceptor.mu.Unlock()
	return s.acceptor.budget.Used(), s.acceptor.budget.Connections(int(Requests))
}

func (s *testServer) eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", condition)
}

func (s *testServer) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// answer returns the status of the next answer on a connection, or 0 where it was closed without one.
func answer(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// TestEviction guards against requests that exceed the budget, an evicted request that is handled or is not refused, an ordinary
// request that is evicted instead of a stalled one, and bytes that stay counted.
func TestEviction(t *testing.T) {
	for _, fast := range []bool{false, true} {
		s := newTestServer(t, testLimits(), fast)
		var stalled []net.Conn
		for range 20 {
			conn := s.dial(t)
			send(t, conn, post(testBodyLimit)+strings.Repeat("x", testBodyLimit-1))
			stalled = append(stalled, conn)
		}
		ordinary := s.dial(t)
		for i := range 3 {
			send(t, ordinary, post(3)+"abc")
			if status := answer(ordinary); status != http.StatusOK {
				t.Fatalf("fasthttp %v: an ordinary request got %d", fast, status)
			}
			if n := len(s.received()); n != i+1 {
				t.Errorf("fasthttp %v: %d requests were handled, want %d", fast, n, i+1)
			}
		}
		if status := answer(stalled[0]); status != http.StatusServiceUnavailable {
			t.Errorf("fasthttp %v: the oldest request got %d, want 503", fast, status)
		}
		if used, _ := s.held(); used > testLimits().Bytes {
			t.Errorf("fasthttp %v: %d bytes are held", fast, used)
		}
		for _, conn := range append(stalled, ordinary) {
			_ = conn.Close()
		}
		s.eventually(t, "nothing is held", func() bool { used, connections := s.held(); return used == 0 && connections == 0 })
	}
}

// TestPipelinedRequest guards against an answer that waits for the rest of the next request on the connection, and against such a
// request that is kept for ever, as it came together with the one before.
func TestPipelinedRequest(t *testing.T) {
	for _, fast := range []bool{false, true} {
		limits := testLimits()
		limits.StallTime = 10 * time.Millisecond
		s := newTestServer(t, limits, fast)
		conn := s.dial(t)
		send(t, conn, post(3)+"abc"+post(10)+"x")
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(conn)
		for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("fasthttp %v: answer %d: %v", fast, i, err)
			}
			if _ = resp.Body.Close(); resp.StatusCode != want {
				t.Errorf("fasthttp %v: answer %d: status %d, want %d", fast, i, resp.StatusCode, want)
			}
		}
	}
}

// TestStalledRequest guards against a request that stops and is kept for ever.
func TestStalledRequest(t *testing.T) {
	for _, fast := range []bool{false, true} {
		limits := testLimits()
		limits.StallTime = 10 * time.Millisecond
		s := newTestServer(t, limits, fast)
		for _, text := range []string{"POST / HT", post(10) + "x", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx"} {
			conn := s.dial(t)
			send(t, conn, text)
			if status := answer(conn); status != http.StatusServiceUnavailable {
				t.Errorf("fasthttp %v: %q got %d, want 503", fast, text, status)
			}
		}
		s.mu.Lock()
		if s.counts["requestsStalled"] != 3 || len(s.bodies) > 0 {
			t.Errorf("fasthttp %v: counts %v, %d requests handled", fast, s.counts, len(s.bodies))
		}
		s.mu.Unlock()
	}
}

// TestAnnouncedSize guards against memory that is reserved for a body before its bytes arrive, and against a body beyond its limit.
func TestAnnouncedSize(t *testing.T) {
	for _, fast := range []bool{false, true} {
		s := newTestServer(t, testLimits(), fast)
		conn := s.dial(t)
		send(t, conn, post(testBodyLimit)+"x")
		s.eventually(t, "the request is counted", func() bool { used, _ := s.held(); return used >= firstBodyBytes })
		if used, _ := s.held(); used > 3*firstBodyBytes {
			t.Errorf("fasthttp %v: %d bytes for one that arrived", fast, used)
		}
		long := s.dial(t)
		send(t, long, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n"+strings.Repeat("x", 8<<10))
		if status := answer(long); status != http.StatusBadRequest {
			t.Errorf("fasthttp %v: a body that is too large got %d", fast, status)
		}
	}
}

// TestFullListener guards against a listener whose stalled connections keep ordinary ones from being accepted.
func TestFullListener(t *testing.T) {
	limits := testLimits()
	limits.Connections[Requests] = 10
	s := newTestServer(t, limits, false)
	for range 50 {
		send(t, s.dial(t), "GET / HTTP/1.1\r\n")
	}
	ordinary := s.dial(t)
	send(t, ordinary, post(1)+"x")
	if status := answer(ordinary); status != http.StatusOK {
		t.Errorf("an ordinary request got %d", status)
	}
	if _, connections := s.held(); connections > 10 {
		t.Errorf("%d connections are open", connections)
	}
}

// FuzzHeader checks that no header causes a panic, a count that is not returned, or a body that differs from what was sent.
func FuzzHeader(f *testing.F) {
	f.Add([]byte(post(3)+"abc"+post(2)+"de"), byte(1), true)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 500)+"\r\n"), byte(100), false)
	f.Add([]byte("POST / HTTP/1.1\nHost:h\nContent-Length:1\nContent-Length:1\nExpect: 100-continue\n\nx"), byte(7), true)
	f.Add([]byte("POST / HTTP/1.0\r\n\r\n"+strings.Repeat("x", 100)), byte(9), false)
	f.Fuzz(func(t *testing.T, input []byte, piece byte, fast bool) { checkInput(t, input, piece, fast) })
}

// FuzzChunks does the same for chunked bodies.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"), byte(1), true)
	f.Add([]byte(strings.Repeat("1\r\nx\r\n", 2000)+"0\r\nTrailer: t\r\n\r\n"), byte(50), false)
	f.Add([]byte("fffffffffffffff\r\nabc"), byte(3), true)
	f.Add([]byte("2;"+strings.Repeat("e", 5000)+"\r\nab\r\n"), byte(200), false)
	f.Fuzz(func(t *testing.T, input []byte, piece byte, fast bool) {
		checkInput(t, append([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), input...), piece, fast)
	})
}

// checkInput sends input to a new server in pieces, closes the connection and checks what the server received and holds.
func checkInput(t *testing.T, input []byte, piece byte, fast bool) {
	s := newTestServer(t, testLimits(), fast)
	conn := s.dial(t)
	size := max(int(piece), len(input)/64+1)
	for rest := input; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		if _, err := conn.Write(rest[:min(size, len(rest))]); err != nil {
			break
		}
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
	s.eventually(t, "nothing is held", func() bool { used, connections := s.held(); return used == 0 && connections == 0 })
	bodies := s.received()
	for _, body := range bodies {
		if len(body) > testBodyLimit {
			t.Errorf("a body of %d bytes is accepted", len(body))
		}
	}
	if req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(input))); err == nil && !fast && len(bodies) > 0 {
		if body, err := io.ReadAll(req.Body); err != nil || string(body) != bodies[0] {
			t.Errorf("the server received %q, sent was %q, error %v", bodies[0], body, err)
		}
	}
}

// BenchmarkRequest measures what the accounting costs a request with a body on an open connection.
func BenchmarkRequest(b *testing.B) {
	for _, counted := range []bool{false, true} {
		b.Run(fmt.Sprintf("counted=%v", counted), func(b *testing.B) {
			s := newTestServer(b, testLimits(), false)
			if !counted {
				plain, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = plain.Close() }()
				server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })}
				go func() { _ = server.Serve(plain) }()
				s.address = plain.Addr().String()
			}
			conn := s.dial(b)
			r, text := bufio.NewReader(conn), post(500)+strings.Repeat("x", 500)
			for b.Loop() {
				send(b, conn, text)
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(err, resp)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
