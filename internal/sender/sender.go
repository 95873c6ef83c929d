package sender

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// HTTP headers of the request that carries a task, and of its response.
const (
	HeaderTaskID     = "Clementineyard-Task-Id"
	HeaderKey        = "Clementineyard-Key"
	HeaderTeam       = "Clementineyard-Team"
	HeaderTimeout    = "Clementineyard-Timeout-Ms"
	HeaderNotStarted = "Clementineyard-Not-Started"
)

// StatusServerError is the lowest HTTP status that counts as a failure of the backend server.
const StatusServerError = 500

// MaxConnections bounds the connections to one backend server, and therefore the tasks that run there at the same time.
const MaxConnections = 64

const (
	connectTimeout = time.Second
	// maxIdleTime is shorter than the idle time that backend servers must allow (docs/callers.md), so that a server
	// does not close a connection while a task is being written to it.
	maxIdleTime      = 5 * time.Second
	maxResponseBytes = 1 << 20
	// stopConnections bounds the connections for stops. They are separate from those for tasks, because stops are most
	// important when all connections for tasks are in use.
	stopConnections = 4
	// deadlineGrace extends the deadline, so that a response that is already in transit can arrive.
	deadlineGrace = 50 * time.Millisecond
	// stopTimeout bounds a stop request, including its wait for a connection.
	stopTimeout = 5 * time.Second
	// clientRetention is how long the HTTP client of a server is kept after its last use. It is longer than the maximum
	// timeout of 10 minutes, so that no client is dropped while tasks are running on its connections.
	clientRetention = 15 * time.Minute
)

// Verdict is what is known about a task after an attempt to send it.
type Verdict int

// The verdicts; see question 5 of docs/design.md.
const (
	// NotStarted: the task provably did not start.
	NotStarted Verdict = iota + 1
	// MayHaveStarted: at least one byte was sent and no complete response arrived.
	MayHaveStarted
	// Answered: a complete response arrived, whatever its status.
	Answered
)

// Attempt is an attempt to run one task on one server.
type Attempt struct {
	Server, Address  string
	Service, Task    string
	TaskID           string
	Submission, Team string
	Payload          []byte
	// ContentType is the Content-Type of Payload. The header is omitted if it is empty.
	ContentType string
	Deadline    time.Time
}

// Result is the result of an Order. Status, ContentType and Body are those of the response if the verdict is Answered.
// Otherwise Err is the error.
type Result struct {
	Verdict     Verdict
	Status      int
	ContentType string
	Body        []byte
	Err         error
}

// Sender manages the connections to the servers of one failure domain. It is safe for concurrent use.
type Sender struct {
	mu      sync.Mutex
	clients map[string]*client
}

// client holds the connections to one server: those for tasks and those for stops.
type client struct {
	http     *fasthttp.HostClient
	stopHTTP *fasthttp.HostClient
	lastUsed time.Time
}

// New returns a Sender without connections.
func New() *Sender { return &Sender{clients: map[string]*client{}} }

// Send sends the order on a new goroutine and calls done once. The number of goroutines is bounded by the slots that
// the scheduler assigns.
func (s *Sender) Send(a Attempt, done func(Result)) {
	go func() { done(s.run(a)) }()
}

func (s *Sender) run(a Attempt) Result {
	remaining := time.Until(a.Deadline)
	if remaining <= 0 {
		return Result{Verdict: NotStarted, Err: eris.New("deadline passed before the task was sent")}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + a.Address + "/v1/run/" + a.Service + "/" + a.Task)
	req.Header.Set(HeaderTaskID, a.TaskID)
	req.Header.Set(HeaderTeam, a.Team)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	if a.Submission != "" {
		req.Header.Set(HeaderKey, a.Submission)
	}
	if a.ContentType == "" {
		req.Header.SetNoDefaultContentType(true)
	} else {
		req.Header.SetContentType(a.ContentType)
	}
	req.SetBodyRaw(a.Payload)
	if err := s.client(a.Address).http.DoDeadline(req, resp, a.Deadline.Add(deadlineGrace)); err != nil {
		return Result{Verdict: classify(err), Err: err}
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(HeaderNotStarted)) == "true" {
		return Result{Verdict: NotStarted, Err: eris.New("server refused the task")}
	}
	return Result{
		Verdict: Answered, Status: resp.StatusCode(),
		// Messages between VMs hold text as UTF-8.
		ContentType: strings.ToValidUTF8(string(resp.Header.ContentType()), "\uFFFD"),
		Body:        append([]byte(nil), resp.Body()...),
	}
}

// client returns the client of a server, which it creates if necessary.
func (s *Sender) client(address string) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		s.dropUnusedClients()
		c = newClient(address)
		s.clients[address] = c
	}
	c.lastUsed = time.Now()
	return c
}

// dropUnusedClients drops the clients of servers that have not been used for clientRetention. A restarted server may
// have a new address.
func (s *Sender) dropUnusedClients() {
	limit := time.Now().Add(-clientRetention)
	for a, c := range s.clients {
		if c.lastUsed.Before(limit) {
			c.http.CloseIdleConnections()
			c.stopHTTP.CloseIdleConnections()
			delete(s.clients, a)
		}
	}
}

func newClient(address string) *client {
	c := &client{http: hostClient(address, MaxConnections), stopHTTP: hostClient(address, stopConnections)}
	c.stopHTTP.MaxConnWaitTimeout = stopTimeout
	return c
}

func hostClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      connections,
		MaxIdleConnDuration:           maxIdleTime,
		MaxResponseBodySize:           maxResponseBytes,
		MaxIdemponentCallAttempts:     1,
		DisableHeaderNamesNormalizing: true,
		NoDefaultUserAgentHeader:      true,
		// By default the library retries requests whose connection closed early. Here only the caller may retry a task.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, connectTimeout)
			if err != nil {
				return nil, &notSentError{err}
			}
			return &writeTrackingConn{Conn: c}, nil
		},
	}
}

// Stop asks a worker to stop a running task, without waiting for the response. The result of the task's order shows
// whether it did. An empty address is ignored.
func (s *Sender) Stop(address, submission, task string) {
	if address == "" {
		return
	}
	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + address + "/v1/stop")
		req.Header.Set(HeaderKey, submission)
		req.Header.Set(HeaderTaskID, task)
		_ = s.client(address).stopHTTP.DoTimeout(req, resp, stopTimeout)
	}()
}
