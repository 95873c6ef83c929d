package replier

import (
	"bytes"
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
)

const announceEvery = 700 * time.Millisecond

// Work is the payload that the stand-in understands.
type Work struct {
	// RunMilliseconds is how long the task takes.
	RunMilliseconds int64 `json:"runMilliseconds"`
	// ID identifies a request without a key in the counts.
	ID string `json:"id,omitempty"`
}

// Config constructs a Server.
type Config struct {
	Name          string
	Address       string
	FailureDomain string
	Services      []string
	Slots         int
	Connections   int
	// EntryVMs are the addresses of the servers' listeners, used in turn.
	EntryVMs []string
}

// Start is one start that the stand-in saw.
type Start struct {
	Key    string    `json:"key"`
	TaskID string    `json:"taskId"`
	Server string    `json:"server"`
	At     time.Time `json:"at"`
}

// Journal collects the starts of all servers in this process. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	starts []Start
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

// Server is one stand-in backend server.
type Server struct {
	cfg         Config
	journal     *Journal
	incarnation int64
	running     atomic.Int64
	overfilled  atomic.Int64
	leaving     atomic.Bool
	http        fasthttp.Server
}

// New returns a Server; Run starts it.
func New(cfg Config, j *Journal) *Server {
	s := &Server{cfg: cfg, journal: j, incarnation: time.Now().UnixMilli()}
	s.http = fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	return s
}

// Run serves and announces until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", s.cfg.Address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	go s.announceLoop(ctx)
	go func() {
		<-ctx.Done()
		_ = s.http.Shutdown()
	}()
	return s.http.Serve(ln)
}

// Overfilled counts starts beyond the announced slots.
func (s *Server) Overfilled() int64 { return s.overfilled.Load() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !strings.HasPrefix(string(ctx.Path()), "/v1/run/") {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var w Work
	if err := json.Unmarshal(ctx.PostBody(), &w); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	taskID := string(ctx.Request.Header.Peek("Clementineyard-Task-Id"))
	key := string(ctx.Request.Header.Peek("Clementineyard-Key"))
	if key == "" {
		key = w.ID
	}
	if s.running.Add(1) > int64(s.cfg.Slots) {
		s.overfilled.Add(1)
	}
	defer s.running.Add(-1)
	s.journal.Add(Start{Key: key, TaskID: taskID, Server: s.cfg.Name, At: time.Now()})
	time.Sleep(time.Duration(w.RunMilliseconds) * time.Millisecond)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"server":` + strconv.Quote(s.cfg.Name) + `,"task":` + strconv.Quote(taskID) + `}`)
}

func (s *Server) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		s.announce(i)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Server) announce(i int) {
	body, err := json.Marshal(map[string]any{
		"name": s.cfg.Name, "incarnation": s.incarnation, "kind": "backendServer", "address": s.cfg.Address,
		"failureDomain": s.cfg.FailureDomain, "services": s.cfg.Services, "slots": s.cfg.Slots,
		"connections": s.cfg.Connections, "running": s.running.Load(), "leaving": s.leaving.Load(),
	})
	if err != nil {
		return
	}
	for n := range s.cfg.EntryVMs {
		if post(s.cfg.EntryVMs[(i+n)%len(s.cfg.EntryVMs)], body) == nil {
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
