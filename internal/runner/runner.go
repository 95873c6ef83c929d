package runner

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"clementineyard/internal/acceptor"
	"clementineyard/internal/auditor"
	"clementineyard/internal/configurer"
	"clementineyard/internal/detector"
	"clementineyard/internal/dispatcher"
	"clementineyard/internal/keeper"
	"clementineyard/internal/listener"
	"clementineyard/internal/messenger"
	"clementineyard/internal/parser"
	"clementineyard/internal/pinger"
	"clementineyard/internal/placer"
	"clementineyard/internal/router"
	"clementineyard/internal/scheduler"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

const (
	// clockMargin bounds the clock difference between entry VMs, and between entry VMs and callers that make keys.
	clockMargin  = 2 * time.Second
	tickInterval = 20 * time.Millisecond
	// minPeerConnections bounds the connections of entry VMs that are not authenticated yet, in a small deployment.
	minPeerConnections = 64
	// taskIDShift is the number of low bits of a task id that hold a counter. The high bits hold the start time of the
	// process, so that ids of different processes do not collide.
	taskIDShift = 24
)

// Config holds the parameters of a Runner.
type Config struct {
	// SettingsFile is the path of the settings file. Relative paths in the settings are relative to its folder.
	SettingsFile string
	Settings     *parser.Settings
	Log          *slog.Logger
}

// Runner is an entry daemon.
type Runner struct {
	cfg         Config
	settings    *parser.Settings
	log         *slog.Logger
	incarnation uint64
	started     time.Time

	peerToken, operatorToken string
	// entryVMs holds the names of the entry VMs of each failure domain.
	entryVMs map[string][]string

	dispatcher *dispatcher.Dispatcher
	configurer *configurer.Configurer
	auditor    *auditor.Auditor
	keepers    map[string]*keeper.Keeper
	messenger  *messenger.Messenger
	pinger     *pinger.Pinger
	router     *router.Router
	metrics    *metrics
	acceptor   *acceptor.Acceptor

	// detectorMu guards the detector, which the pinger's goroutine and the status page share.
	detectorMu sync.Mutex
	detector   *detector.Detector

	stopping         atomic.Bool
	recordsWereReady atomic.Bool
	listeners        []boundListener
}

// boundListener is an HTTP server with the listener that it will serve.
type boundListener struct {
	name   string
	server *fasthttp.Server
	ln     net.Listener
}

// New builds the daemon and opens its HTTP listeners.
func New(cfg Config) (*Runner, error) {
	now := time.Now()
	r := &Runner{
		cfg: cfg, settings: cfg.Settings, log: cfg.Log, started: now, incarnation: uint64(now.UnixMilli()),
		keepers: map[string]*keeper.Keeper{}, entryVMs: entryVMsByDomain(cfg.Settings),
	}
	if err := r.readTokens(); err != nil {
		return nil, err
	}
	r.metrics = newMetrics()
	r.buildAcceptor()
	r.buildMessenger()
	if err := r.buildConfigurer(); err != nil {
		return nil, err
	}
	r.buildDispatcher()
	if err := r.buildPinger(); err != nil {
		return nil, err
	}
	if err := r.bind(); err != nil {
		return nil, err
	}
	return r, nil
}

// readTokens reads the peers' and the operators' token from the files that the settings name.
func (r *Runner) readTokens() error {
	for _, t := range []struct {
		file  string
		token *string
	}{{r.settings.PeerTokenFile, &r.peerToken}, {r.settings.OperatorTokenFile, &r.operatorToken}} {
		if t.file == "" {
			continue
		}
		path := t.file
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(r.cfg.SettingsFile), path)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read token file")
		}
		*t.token = strings.TrimSpace(string(b))
	}
	return nil
}

func (r *Runner) peerNames() []string {
	var out []string
	for _, v := range r.settings.EntryVMs {
		if v.Name != r.settings.Name {
			out = append(out, v.Name)
		}
	}
	return out
}

// entryVMsByDomain returns the names of the entry VMs of each failure domain.
func entryVMsByDomain(settings *parser.Settings) map[string][]string {
	out := map[string][]string{}
	for _, v := range settings.EntryVMs {
		out[v.FailureDomain] = append(out[v.FailureDomain], v.Name)
	}
	return out
}

// buildAcceptor builds the budget for requests of all listeners.
func (r *Runner) buildAcceptor() {
	l := acceptor.Limits{
		Bytes: int64(r.settings.Limits.RequestMemory), StallTime: r.settings.Limits.StallTime.Duration, RequestTime: acceptor.DefaultRequestTime,
		Buffer: acceptor.ControlBuffer,
	}
	for _, kind := range []acceptor.Kind{acceptor.Requests, acceptor.Servers, acceptor.Operators} {
		l.Connections[kind] = r.settings.Limits.Connections
	}
	// All entry VMs may connect at once, with room for attempts that they have given up.
	l.Connections[acceptor.Peers] = max(minPeerConnections, 4*len(r.settings.EntryVMs))
	r.acceptor = acceptor.New(acceptor.Config{
		Limits: l, Log: r.log.With("part", "acceptor"), Count: func(name string, delta int64) { r.metrics.scope.Counter(name).Inc(delta) },
	})
}

func (r *Runner) buildMessenger() {
	var peers []messenger.Peer
	for _, v := range r.settings.EntryVMs {
		peers = append(peers, messenger.Peer{Name: v.Name, Address: v.Peers})
	}
	r.messenger = messenger.New(messenger.Config{
		Name: r.settings.Name, Incarnation: r.incarnation, Token: r.peerToken, Peers: peers, Handle: r.handlePeer,
		Log: r.log.With("part", "messenger"),
	})
}

func (r *Runner) buildDispatcher() {
	r.buildKeepers()
	k := r.keepers[r.settings.FailureDomain]
	taskSender := sender.New()
	r.dispatcher = dispatcher.New(dispatcher.Config{
		Scheduler:     scheduler.New(r.schedulerConfig()),
		Records:       dispatcher.RecordKeeper{Begin: k.Begin, Abandon: k.Abandon, Commit: k.Commit, Finish: k.Finish},
		Send:          taskSender.Send,
		Stop:          taskSender.Stop,
		RefusalReason: func(s *wire.Submission) wire.Reason { return r.configurer.Current().RefusalReason(s) },
		HoldsLease:    k.HoldsLease,
		Now:           time.Now,
		LastTaskID:    r.incarnation << taskIDShift,
	})
	r.router = router.New(router.Config{
		Name: r.settings.Name, FailureDomain: r.settings.FailureDomain, EntryVMs: r.entryVMs,
		Owner: r.owner, MajorityReachable: r.quorum, Dispatch: r.dispatcher.Submit, Call: r.messenger.Call, Connected: r.messenger.Connected,
		Evacuated: r.evacuated,
		Now:       time.Now, After: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	})
}

// schedulerConfig returns the scheduler's configuration for the placement policy in the settings.
func (r *Runner) schedulerConfig() scheduler.Config {
	c := scheduler.Config{Seed: r.incarnation}
	switch r.settings.Policy {
	case parser.PolicyBaseline:
		c.Policy = scheduler.PolicyBaseline
	case parser.PolicyLastReport:
		c.Load = placer.LoadLastReport
	case parser.PolicySmoothedReport:
		c.Load = placer.LoadSmoothedReport
	}
	return c
}

func (r *Runner) buildPinger() error {
	r.detector = detector.New(detector.Config{
		Name: r.settings.Name, Incarnation: r.incarnation, Peers: r.peerNames(), PingEvery: r.settings.Timing.PingEvery.Duration,
		Describe: r.fillPing,
	})
	addrs := map[string]string{}
	for _, v := range r.settings.EntryVMs {
		if v.Name != r.settings.Name {
			addrs[v.Name] = v.Peers
		}
	}
	p, err := pinger.New(pinger.Config{
		Bind: r.settings.Listen.Peers, Peers: addrs, Token: r.peerToken, Handle: r.handleDatagram,
		Log: r.log.With("part", "pinger"),
	})
	r.pinger = p
	return err
}

func (r *Runner) bind() error {
	callers := &listener.CallerAPI{
		FailureDomain: r.settings.FailureDomain, Limits: r.settings.Limits, Current: r.configurer.Current, Submit: r.router.Submit,
		Lookup: r.lookup, Cancel: r.cancel,
		KeyHome: r.keyHome,
		Floor:   func() time.Time { return r.keepers[r.settings.FailureDomain].State().Floor }, Now: time.Now, Acceptor: r.acceptor,
	}
	servers := &listener.ServerAPI{FailureDomain: r.settings.FailureDomain, Timing: r.settings.Timing, Announce: r.announce, Acceptor: r.acceptor}
	operators := &listener.OperatorAPI{
		Token: r.operatorToken, Current: r.configurer.Current, Propose: r.propose, Status: r.status, Audit: r.audit,
		Ready: r.ready, Metrics: r.metrics.handler, Now: time.Now, Explain: r.explain, TasksPerJob: r.settings.Limits.TasksPerJob, Acceptor: r.acceptor,
	}
	for _, b := range []struct {
		name, address string
		kind          acceptor.Kind
		handle        fasthttp.RequestHandler
	}{
		{"callers", r.settings.Listen.Callers, acceptor.Requests, callers.Handle},
		{"servers", r.settings.Listen.Servers, acceptor.Servers, servers.Handle},
		{"operators", r.settings.Listen.Operators, acceptor.Operators, operators.Handle},
	} {
		ln, err := listener.ListenUnderBudget(b.address, r.acceptor, b.kind)
		if err != nil {
			return eris.Wrapf(err, "listen for %s", b.name)
		}
		server := listener.NewServer(r.settings.Limits, b.handle)
		// The acceptor bounds the connections. Those that it evicts count here until their goroutines have ended.
		server.Concurrency = 2 * r.settings.Limits.Connections
		server.Logger = slog.NewLogLogger(r.log.With("part", "listener", "listener", b.name).Handler(), slog.LevelInfo)
		r.listeners = append(r.listeners, boundListener{b.name, server, ln})
	}
	return nil
}

// Run serves until ctx is done and then stops gracefully. It returns an error if a listener or the pinger fails.
func (r *Runner) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp4", r.settings.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	errs := make(chan error, len(r.listeners)+1)
	for _, k := range r.keepers {
		go k.Run(serveCtx)
	}
	go r.configurer.Run(serveCtx)
	go r.dispatcher.Run(serveCtx)
	go r.acceptor.Run(serveCtx)
	go r.messenger.Run(serveCtx, r.acceptor.Listen(peers, acceptor.Peers))
	go r.tickLoop(serveCtx)
	go r.reportMetrics(serveCtx)
	go func() { errs <- r.pinger.Run(serveCtx) }()
	for _, b := range r.listeners {
		go func() { errs <- b.server.Serve(b.ln) }()
	}
	r.log.Info("Entry daemon started.", "part", "runner", "name", r.settings.Name, "failureDomain", r.settings.FailureDomain)
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
	}
	return r.stop()
}

// tickLoop advances the detector and sends its pings until ctx is done.
func (r *Runner) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			r.detectorMu.Lock()
			pings := r.detector.Tick(now)
			r.detectorMu.Unlock()
			r.sendPings(pings)
		}
	}
}
