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

const announceInterval = 700 * time.Millisecond

// Work is the payload of a task for a stand-in server, as JSON.
type Work struct {
	// RunMilliseconds is how long the task takes on a server of speed 1.
	RunMilliseconds int64 `json:"runMilliseconds"`
	// ID identifies a request without a key in the journal.
	ID string `json:"id,omitempty"`
	// Cores is the number of cores that the task uses; 0 means one.
	Cores float64 `json:"cores,omitempty"`
}

// Config describes a Server.
type Config struct {
	Name string
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address       string
	FailureDomain string
	Services      []string
	// Slots is the number of tasks that a backend server runs at once. It is 0 for a worker, which runs every task that it
	// receives.
	Slots int
	// Connections is the number of connections that the server announces.
	Connections int
	// Cores, Memory (as in "32GiB") and Rack describe a worker.
	Cores  float64
	Memory string
	Rack   string
	// BackgroundCores is the number of a worker's cores that other programs use.
	BackgroundCores float64
	// ReportDelay is the age of the usage in an announcement.
	ReportDelay time.Duration
	// Speed divides run times; 0 means 1.
	Speed float64
	// EntryVMs are the addresses at which entry VMs listen for servers; announcements go to them in turn.
	EntryVMs []string
}

// Start is one start of a task on a stand-in server.
type Start struct {
	Key    string `json:"key"`
	TaskID string `json:"taskId"`
	// Keyed is false when Key is the ID of Work; a request without a key may start more than once.
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

// ReceivedTasks returns the number of tasks that reached a server, including those that it refused.
func (j *Journal) ReceivedTasks() int64 { return j.messages.Load() }

// StartedTwice returns the number of starts of keyed tasks beyond the first start of each key and task ID.
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

// Server is one stand-in backend server or worker. Its flags may be set at any time.
type Server struct {
	// Failing makes the server answer every task with status 500 immediately.
	Failing atomic.Bool
	// DroppingAnswers makes the server start every task and close the connection without an answer.
	DroppingAnswers atomic.Bool
	// Refusing makes the server answer that the task was not started.
	Refusing atomic.Bool
	// Leaving makes the server announce that it takes no new work.
	Leaving atomic.Bool
	// Silent makes the server send no announcements; it still runs tasks.
	Silent atomic.Bool

	cfg         Config
	journal     *Journal
	incarnation int64
	running     atomic.Int64
	overfilled  atomic.Int64
	// slots holds one element per running task. Tasks beyond the slots wait to send on it, first in, first out. It is nil
	// for a worker.
	slots chan struct{}
	// stops maps the key and task ID of a running or waiting task to the channel that stops it when closed.
	stops        sync.Map
	usageReports []usageReport
	http         fasthttp.Server

	mu         sync.Mutex
	acked      Acknowledgement
	coresInUse float64
	// usageSince is the time up to which coreTime is accounted.
	usageSince time.Time
	coreTime   time.Duration
}

// usageReport is the usage of a server at one time.
type usageReport struct {
	at      time.Time
	running int64
	cores   float64
}

// Acknowledgement describes which announcements of a server entry VMs have answered.
type Acknowledgement struct {
	// At is when the last announcement was answered.
	At time.Time
	// Leaving is the number of answered announcements that declared the server to be leaving.
	Leaving int
}

// New returns a Server; Run starts it.
func New(cfg Config, j *Journal) *Server {
	cfg.Speed = cmp.Or(cfg.Speed, 1)
	s := &Server{cfg: cfg, journal: j, incarnation: time.Now().UnixMilli(), coresInUse: cfg.BackgroundCores, usageSince: time.Now()}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	s.http = fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	return s
}

// Run listens, serves tasks and sends announcements until the context ends.
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

// TasksOverSlots returns the number of tasks that arrived while all slots were occupied.
func (s *Server) TasksOverSlots() int64 { return s.overfilled.Load() }

// Acknowledged returns which announcements entry VMs have answered.
func (s *Server) Acknowledged() Acknowledgement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

func (s *Server) recordAcknowledgement(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked.At = time.Now()
	if leaving {
		s.acked.Leaving++
	}
}

// CoreTime returns the core time used since New, background included, and the number of cores.
func (s *Server) CoreTime() (used time.Duration, cores float64) {
	_, used = s.addCoresInUse(0)
	return used, s.cfg.Cores
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/stop":
		if stop, ok := s.stops.LoadAndDelete(taskIdentity(ctx)); ok {
			close(stop.(chan struct{}))
		}
	case strings.HasPrefix(path, "/v1/run/"):
		s.runTask(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// taskIdentity returns the key and the task ID of a call; both are empty for a request without a key.
func taskIdentity(ctx *fasthttp.RequestCtx) [2]string {
	h := &ctx.Request.Header
	return [2]string{string(h.Peek("Clementineyard-Key")), string(h.Peek("Clementineyard-Task-Id"))}
}

func rejectNotStarted(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Clementineyard-Not-Started", "true")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (s *Server) runTask(ctx *fasthttp.RequestCtx) {
	s.journal.messages.Add(1)
	if s.Refusing.Load() {
		rejectNotStarted(ctx)
		return
	}
	var w Work
	if err := json.Unmarshal(ctx.PostBody(), &w); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	id := taskIdentity(ctx)
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
			rejectNotStarted(ctx)
			return
		}
	}
	s.journal.Add(Start{Key: cmp.Or(id[0], w.ID), TaskID: id[1], Keyed: id[0] != "", Server: s.cfg.Name, At: time.Now()})
	if s.DroppingAnswers.Load() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	if s.Failing.Load() {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if !s.simulateRun(w, stop) {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"server":` + strconv.Quote(s.cfg.Name) + `,"task":` + strconv.Quote(id[1]) + `}`)
}

// simulateRun occupies the task's cores for its run time. It returns false when the task was stopped.
func (s *Server) simulateRun(w Work, stop <-chan struct{}) bool {
	cores := cmp.Or(w.Cores, 1)
	s.addCoresInUse(cores)
	defer s.addCoresInUse(-cores)
	end := waiter.At(time.Now().Add(time.Duration(float64(w.RunMilliseconds) / s.cfg.Speed * float64(time.Millisecond))))
	select {
	case <-end:
		return true
	case <-stop:
		return false
	}
}

// addCoresInUse changes the number of cores in use, and returns the new number and the core time used so far.
func (s *Server) addCoresInUse(change float64) (inUse float64, used time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.coreTime += time.Duration(s.coresInUse * float64(now.Sub(s.usageSince)))
	s.usageSince = now
	s.coresInUse += change
	return s.coresInUse, s.coreTime
}

func (s *Server) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceInterval)
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

// delayedReport returns the newest usage report that is at least as old as the configured delay, or else the oldest
// one.
func (s *Server) delayedReport() usageReport {
	now := time.Now()
	inUse, _ := s.addCoresInUse(0)
	s.usageReports = append(s.usageReports, usageReport{now, s.running.Load(), inUse})
	for len(s.usageReports) > 1 && now.Sub(s.usageReports[1].at) >= s.cfg.ReportDelay {
		s.usageReports = s.usageReports[1:]
	}
	return s.usageReports[0]
}

func (s *Server) announce(round int) {
	r, leaving := s.delayedReport(), s.Leaving.Load()
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
		if postAnnouncement(s.cfg.EntryVMs[(round+n)%len(s.cfg.EntryVMs)], body) == nil {
			s.recordAcknowledgement(leaving)
			return
		}
	}
}

func postAnnouncement(address string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/announcements")
	req.SetBodyStream(bytes.NewReader(body), len(body))
	if err := fasthttp.DoTimeout(req, resp, announceInterval); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("post announcement: refused: %s", resp.Body())
	}
	return nil
}
