package replier

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"clementineyard/cmd/loader/internal/waiter"
)

const announceEvery = 700 * time.Millisecond

// Work is the payload that the stand-in understands.
type Work struct {
	// RunMilliseconds is how long the task takes on a server of speed 1.
	RunMilliseconds int64 `json:"runMilliseconds"`
	// ID identifies a request without a key in the counts.
	ID string `json:"id,omitempty"`
	// Cores is what the task uses; 0 means one.
	Cores float64 `json:"cores,omitempty"`
}

// Config constructs a Server.
type Config struct {
	Name string
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address       string
	FailureDomain string
	Services      []string
	// Slots is 0 for a worker, which runs all that it gets.
	Slots       int
	Connections int
	// Cores, Memory (as in "32GiB") and Rack describe a worker.
	Cores  float64
	Memory string
	Rack   string
	// Background is the number of a worker's cores that others use.
	Background float64
	// ReportDelay is how old the usage in an announcement is.
	ReportDelay time.Duration
	// Speed divides run times; 0 means 1.
	Speed float64
	// EntryVMs are the addresses of the servers' listeners, used in turn.
	EntryVMs []string
}

// Start is one start that the stand-in saw.
type Start struct {
	Key    string `json:"key"`
	TaskID string `json:"taskId"`
	// Keyed is false when Key is the Work's ID: such a request may be repeated.
	Keyed  bool      `json:"keyed"`
	Server string    `json:"server"`
	At     time.Time `json:"at"`
}

// Journal collects the starts of all servers in this process. It is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	starts   []Start
	messages atomic.Int64
}

// Add records one start.
func (j *Journal) Add(s Start) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts = append(j.starts, s)
}

// Starts returns a copy of all starts.
func (j *Journal) Starts() []Start {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Start(nil), j.starts...)
}

// Messages counts the tasks that reached a server, refused ones included.
func (j *Journal) Messages() int64 { return j.messages.Load() }

// StartedTwice counts the starts of keyed tasks after the first of each key and task id.
func (j *Journal) StartedTwice() int {
	seen := map[[2]string]bool{}
	twice := 0
	for _, s := range j.Starts() {
		id := [2]string{s.Key, s.TaskID}
		if s.Keyed && seen[id] {
			twice++
		}
		seen[id] = true
	}
	return twice
}

// Server is one stand-in backend server or worker. Its switches may be set at any time.
type Server struct {
	// Failing answers every task with status 500 at once.
	Failing atomic.Bool
	// Dropping starts every task and closes the connection without an answer.
	Dropping atomic.Bool
	// Refusing answers that the task was not started.
	Refusing atomic.Bool
	// Leaving announces that the server takes no new work.
	Leaving atomic.Bool
	// Silent ends the announcements; tasks are still served.
	Silent atomic.Bool

	cfg         Config
	journal     *Journal
	incarnation int64
	running     atomic.Int64
	overfilled  atomic.Int64
	// slots queues the tasks beyond the slots: blocked senders on a channel are served first in, first out.
	slots   chan struct{}
	stops   sync.Map
	reports []report
	http    fasthttp.Server

	mu    sync.Mutex
	acked Acknowledgement
	inUse float64
	since time.Time
	used  time.Duration
}

// report is the usage at one time.
type report struct {
	at      time.Time
	running int64
	cores   float64
}

// Acknowledgement tells what entry VMs know of a server from itself.
type Acknowledgement struct {
	// At is when the last answer to an announcement came.
	At time.Time
	// Leaving counts the answered announcements that said that the server leaves.
	Leaving int
}

// New returns a Server; Run starts it.
func New(cfg Config, j *Journal) *Server {
	cfg.Speed = cmp.Or(cfg.Speed, 1)
	s := &Server{cfg: cfg, journal: j, incarnation: time.Now().UnixMilli(), inUse: cfg.Background, since: time.Now()}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	s.http = fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	return s
}

// Run serves and announces until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", s.cfg.Address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.cfg.Address = ln.Addr().String()
	go s.announceLoop(ctx)
	go func() {
		<-ctx.Done()
		_ = ln.Close()
		_ = s.http.Shutdown()
	}()
	return s.http.Serve(ln)
}

// Name returns the server's name.
func (s *Server) Name() string { return s.cfg.Name }

// Overfilled counts tasks that arrived while all slots were taken.
func (s *Server) Overfilled() int64 { return s.overfilled.Load() }

// Acknowledged returns what entry VMs have acknowledged.
func (s *Server) Acknowledged() Acknowledgement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

func (s *Server) acknowledge(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked.At = time.Now()
	if leaving {
		s.acked.Leaving++
	}
}

// CoreTime returns the core time used since the server was made, and its cores.
func (s *Server) CoreTime() (used time.Duration, cores float64) {
	_, used = s.use(0)
	return used, s.cfg.Cores
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/stop":
		if stop, ok := s.stops.LoadAndDelete(identity(ctx)); ok {
			close(stop.(chan struct{}))
		}
	case strings.HasPrefix(path, "/v1/run/"):
		s.run(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func identity(ctx *fasthttp.RequestCtx) [2]string {
	h := &ctx.Request.Header
	return [2]string{string(h.Peek("Clementineyard-Key")), string(h.Peek("Clementineyard-Task-Id"))}
}

func notStarted(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Clementineyard-Not-Started", "true")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (s *Server) run(ctx *fasthttp.RequestCtx) {
	s.journal.messages.Add(1)
	if s.Refusing.Load() {
		notStarted(ctx)
		return
	}
	var w Work
	if err := json.Unmarshal(ctx.PostBody(), &w); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	id := identity(ctx)
	if s.running.Add(1) > int64(s.cfg.Slots) && s.slots != nil {
		s.overfilled.Add(1)
	}
	defer s.running.Add(-1)
	stop := make(chan struct{})
	if id[0] != "" {
		s.stops.Store(id, stop)
		defer s.stops.Delete(id)
	}
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-stop:
			notStarted(ctx)
			return
		}
	}
	s.journal.Add(Start{Key: cmp.Or(id[0], w.ID), TaskID: id[1], Keyed: id[0] != "", Server: s.cfg.Name, At: time.Now()})
	if s.Dropping.Load() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	if s.Failing.Load() {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if !s.work(w, stop) {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"server":` + strconv.Quote(s.cfg.Name) + `,"task":` + strconv.Quote(id[1]) + `}`)
}

// work takes the task's run time; it returns false when the task was stopped.
func (s *Server) work(w Work, stop <-chan struct{}) bool {
	cores := cmp.Or(w.Cores, 1)
	s.use(cores)
	defer s.use(-cores)
	end := waiter.At(time.Now().Add(time.Duration(float64(w.RunMilliseconds) / s.cfg.Speed * float64(time.Millisecond))))
	select {
	case <-end:
		return true
	case <-stop:
		return false
	}
}

// use changes the cores in use and returns them, with the core time used so far.
func (s *Server) use(change float64) (inUse float64, used time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.used += time.Duration(s.inUse * float64(now.Sub(s.since)))
	s.since = now
	s.inUse += change
	return s.inUse, s.used
}

func (s *Server) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		if !s.Silent.Load() {
			s.announce(i)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// lateReport returns the newest report that is old enough.
func (s *Server) lateReport() report {
	now := time.Now()
	inUse, _ := s.use(0)
	s.reports = append(s.reports, report{now, s.running.Load(), inUse})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.cfg.ReportDelay {
		s.reports = s.reports[1:]
	}
	return s.reports[0]
}

func (s *Server) announce(i int) {
	r, leaving := s.lateReport(), s.Leaving.Load()
	a := map[string]any{
		"name": s.cfg.Name, "incarnation": s.incarnation, "kind": "backendServer", "address": s.cfg.Address,
		"failureDomain": s.cfg.FailureDomain, "services": s.cfg.Services, "slots": s.cfg.Slots,
		"connections": s.cfg.Connections, "running": r.running, "leaving": leaving,
	}
	if s.slots == nil {
		a["kind"], a["cores"], a["memory"], a["rack"] = "worker", s.cfg.Cores, s.cfg.Memory, s.cfg.Rack
		a["coresInUse"] = r.cores
	}
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	for n := range s.cfg.EntryVMs {
		if post(s.cfg.EntryVMs[(i+n)%len(s.cfg.EntryVMs)], body) == nil {
			s.acknowledge(leaving)
			return
		}
	}
}

func post(address string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/announcements")
	req.SetBodyStream(bytes.NewReader(body), len(body))
	if err := fasthttp.DoTimeout(req, resp, announceEvery); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("announcement refused: %s", resp.Body())
	}
	return nil
}
