package sender

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Headers of a task on its way to a server, and of the server's answer.
const (
	HeaderTaskID     = "Clementineyard-Task-Id"
	HeaderKey        = "Clementineyard-Key"
	HeaderTeam       = "Clementineyard-Team"
	HeaderTimeout    = "Clementineyard-Timeout-Ms"
	HeaderNotStarted = "Clementineyard-Not-Started"
)

// StatusServerError is the lowest status that counts against a server's health.
const StatusServerError = 500

// MaxConnections is the number of connections, and so of tasks at the same time, to one server.
const MaxConnections = 64

const (
	connectTimeout = time.Second
	// idleLimit is shorter than the idle time that servers must grant (docs/callers.md), so that a server does not
	// close a connection while a task is being written to it.
	idleLimit = 5 * time.Second
	maxAnswer = 1 << 20
	// stopConnections are opened beside those of the tasks, since a stop matters most when all of these are taken.
	stopConnections = 4
	// graceAfterDeadline lets an answer that is already on its way arrive.
	graceAfterDeadline = 50 * time.Millisecond
	// stopTimeout bounds a stop, also its wait for a connection.
	stopTimeout = 5 * time.Second
	// clientIdle is how long the client of a server is kept after its last start. It is longer than the longest timeout of
	// 10 minutes, so that no client is dropped while tasks are under way on its connections.
	clientIdle = 15 * time.Minute
)

// Verdict tells what is known of a task that was handed to the sender.
type Verdict int

// The verdicts, see question 5 of docs/design.md.
const (
	// NotStarted: the server provably did not start the work.
	NotStarted Verdict = iota + 1
	// MayHaveStarted: at least one byte was sent and no whole answer came.
	MayHaveStarted
	// Answered: a whole answer came, whatever its status.
	Answered
)

// Order is one task for one server.
type Order struct {
	Server, Address  string
	Service, Task    string
	TaskID           string
	Submission, Team string
	Payload          []byte
	// ContentType is passed on; empty leaves the header out.
	ContentType string
	Deadline    time.Time
}

// Result is what became of an Order.
type Result struct {
	Verdict     Verdict
	Status      int
	ContentType string
	Body        []byte
	Err         error
}

// Sender keeps the connections to the servers of one failure domain. It is safe for concurrent use.
type Sender struct {
	mu      sync.Mutex
	clients map[string]*client
}

type client struct {
	http     *fasthttp.HostClient
	stops    *fasthttp.HostClient
	lastUsed time.Time
}

// New returns a Sender without connections.
func New() *Sender { return &Sender{clients: map[string]*client{}} }

// Send performs the order on a goroutine of its own and calls done once. The number of goroutines is bounded by the
// slots that the scheduler hands out.
func (s *Sender) Send(o Order, done func(Result)) {
	go func() { done(s.do(o)) }()
}

func (s *Sender) do(o Order) Result {
	left := time.Until(o.Deadline)
	if left <= 0 {
		return Result{Verdict: NotStarted, Err: eris.New("deadline passed before the task was sent")}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + o.Address + "/v1/run/" + o.Service + "/" + o.Task)
	req.Header.Set(HeaderTaskID, o.TaskID)
	req.Header.Set(HeaderTeam, o.Team)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if o.Submission != "" {
		req.Header.Set(HeaderKey, o.Submission)
	}
	if o.ContentType == "" {
		req.Header.SetNoDefaultContentType(true)
	} else {
		req.Header.SetContentType(o.ContentType)
	}
	req.SetBodyRaw(o.Payload)
	if err := s.client(o.Address).http.DoDeadline(req, resp, o.Deadline.Add(graceAfterDeadline)); err != nil {
		return Result{Verdict: classify(err), Err: err}
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(HeaderNotStarted)) == "true" {
		return Result{Verdict: NotStarted, Err: eris.New("server refused the task")}
	}
	return Result{
		Verdict: Answered, Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()),
		Body: append([]byte(nil), resp.Body()...),
	}
}

func (s *Sender) client(address string) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		s.dropIdle()
		c = newClient(address)
		s.clients[address] = c
	}
	c.lastUsed = time.Now()
	return c
}

// dropIdle forgets servers that have had no work for a while; restarted servers come back under other addresses.
func (s *Sender) dropIdle() {
	limit := time.Now().Add(-clientIdle)
	for a, c := range s.clients {
		if c.lastUsed.Before(limit) {
			c.http.CloseIdleConnections()
			c.stops.CloseIdleConnections()
			delete(s.clients, a)
		}
	}
}

func newClient(address string) *client {
	c := &client{http: hostClient(address, MaxConnections), stops: hostClient(address, stopConnections)}
	c.stops.MaxConnWaitTimeout = stopTimeout
	return c
}

func hostClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      connections,
		MaxIdleConnDuration:           idleLimit,
		MaxResponseBodySize:           maxAnswer,
		MaxIdemponentCallAttempts:     1,
		DisableHeaderNamesNormalizing: true,
		NoDefaultUserAgentHeader:      true,
		// The library repeats requests whose connection closed early; whether a task may be sent again is decided here.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, connectTimeout)
			if err != nil {
				return nil, &unsentError{err}
			}
			return &countingConn{Conn: c}, nil
		},
	}
}

// Stop asks a worker to stop a running task. The task's own answer tells whether it did.
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
		_ = s.client(address).stops.DoTimeout(req, resp, stopTimeout)
	}()
}
