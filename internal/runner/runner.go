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
	// clockMargin bounds the clock difference between entry VMs, and between callers that make keys and entry VMs.
	clockMargin = 2 * time.Second
	tickEvery   = 20 * time.Millisecond
	// taskIDShift leaves the low bits of a task id to a counter; the high bits hold the start time, so that ids of
	// different processes do not collide.
	taskIDShift = 24
)

// Config constructs a Runner.
type Config struct {
	// SettingsFile is the path that relative paths in the settings count from.
	SettingsFile string
	Settings     *parser.Settings
	Log          *slog.Logger
}

// Runner is one entry daemon.
type Runner struct {
	cfg         Config
	set         *parser.Settings
	log         *slog.Logger
	incarnation uint64
	started     time.Time

	peerToken, operatorToken string
	// members lists the entry VMs of each failure domain.
	members map[string][]string

	dispatcher *dispatcher.Dispatcher
	configurer *configurer.Configurer
	auditor    *auditor.Auditor
	keepers    map[string]*keeper.Keeper
	messenger  *messenger.Messenger
	pinger     *pinger.Pinger
	router     *router.Router
	metrics    *metrics

	// state guards the detector, which the pinger's thread and the status page share.
	state    sync.Mutex
	detector *detector.Detector

	stopping    atomic.Bool
	recordsSeen atomic.Bool
	listeners   []boundServer
}

type boundServer struct {
	name   string
	server *fasthttp.Server
	ln     net.Listener
}

// New builds the daemon and binds its addresses.
func New(cfg Config) (*Runner, error) {
	now := time.Now()
	r := &Runner{
		cfg: cfg, set: cfg.Settings, log: cfg.Log, started: now, incarnation: uint64(now.UnixMilli()),
		keepers: map[string]*keeper.Keeper{}, members: membersOf(cfg.Settings),
	}
	if err := r.readTokens(); err != nil {
		return nil, err
	}
	r.metrics = newMetrics()
	r.buildPeers()
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

func (r *Runner) readTokens() error {
	for _, t := range []struct {
		file string
		to   *string
	}{{r.set.PeerTokenFile, &r.peerToken}, {r.set.OperatorTokenFile, &r.operatorToken}} {
		if t.file == "" {
			continue
		}
		path := t.file
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(r.cfg.SettingsFile), path)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read token")
		}
		*t.to = strings.TrimSpace(string(b))
	}
	return nil
}

func (r *Runner) peerNames() []string {
	var out []string
	for _, v := range r.set.EntryVMs {
		if v.Name != r.set.Name {
			out = append(out, v.Name)
		}
	}
	return out
}

// membersOf lists the entry VMs of each failure domain.
func membersOf(set *parser.Settings) map[string][]string {
	out := map[string][]string{}
	for _, v := range set.EntryVMs {
		out[v.FailureDomain] = append(out[v.FailureDomain], v.Name)
	}
	return out
}

func (r *Runner) buildPeers() {
	var peers []messenger.Peer
	for _, v := range r.set.EntryVMs {
		peers = append(peers, messenger.Peer{Name: v.Name, Address: v.Peers})
	}
	r.messenger = messenger.New(messenger.Config{
		Name: r.set.Name, Incarnation: r.incarnation, Token: r.peerToken, Peers: peers, Handle: r.handlePeer,
		Log: r.log.With("part", "messenger"),
	})
}

func (r *Runner) buildDispatcher() {
	r.buildKeepers()
	k := r.keepers[r.set.FailureDomain]
	snd := sender.New()
	r.dispatcher = dispatcher.New(dispatcher.Config{
		Scheduler:  scheduler.New(r.schedulerConfig()),
		Records:    dispatcher.Records{Begin: k.Begin, Abandon: k.Abandon, Commit: k.Commit, Finish: k.Finish},
		Send:       snd.Send,
		Stop:       snd.Stop,
		Refuse:     func(s *wire.Submission) wire.Reason { return r.configurer.Current().Refusal(s) },
		Held:       k.Held,
		Now:        time.Now,
		NextTaskID: r.incarnation << taskIDShift,
	})
	r.router = router.New(router.Config{
		Name: r.set.Name, FailureDomain: r.set.FailureDomain, Members: r.members,
		Owner: r.owner, Quorum: r.quorum, Dispatch: r.dispatcher.Submit, Call: r.messenger.Call, Connected: r.messenger.Connected,
		Now: time.Now, After: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	})
}

func (r *Runner) schedulerConfig() scheduler.Config {
	c := scheduler.Config{Seed: r.incarnation}
	switch r.set.Policy {
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
		Name: r.set.Name, Incarnation: r.incarnation, Peers: r.peerNames(), PingEvery: r.set.Timing.PingEvery.Duration,
		Describe: r.describe,
	})
	addrs := map[string]string{}
	for _, v := range r.set.EntryVMs {
		if v.Name != r.set.Name {
			addrs[v.Name] = v.Peers
		}
	}
	p, err := pinger.New(pinger.Config{
		Bind: r.set.Listen.Peers, Peers: addrs, Token: r.peerToken, Handle: r.handleDatagram,
		Log: r.log.With("part", "pinger"),
	})
	r.pinger = p
	return err
}

func (r *Runner) bind() error {
	callers := &listener.Callers{
		FailureDomain: r.set.FailureDomain, Limits: r.set.Limits, Current: r.configurer.Current, Submit: r.router.Submit,
		Lookup: r.lookup, Cancel: r.cancel,
		Floor: func() time.Time { return r.keepers[r.set.FailureDomain].Published().Floor }, Now: time.Now,
	}
	servers := &listener.Servers{FailureDomain: r.set.FailureDomain, Timing: r.set.Timing, Announce: r.announce}
	operators := &listener.Operators{
		Token: r.operatorToken, Current: r.configurer.Current, Propose: r.propose, Status: r.status, Audit: r.audit,
		Ready: r.ready, Metrics: r.metrics.handler, Now: time.Now,
	}
	for _, b := range []struct {
		name, address string
		handle        fasthttp.RequestHandler
	}{
		{"callers", r.set.Listen.Callers, callers.Handle},
		{"servers", r.set.Listen.Servers, servers.Handle},
		{"operators", r.set.Listen.Operators, operators.Handle},
	} {
		ln, err := listener.Listen(b.address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s", b.name)
		}
		server := listener.NewServer(r.set.Limits, b.handle)
		server.Logger = slog.NewLogLogger(r.log.With("part", "listener", "listener", b.name).Handler(), slog.LevelInfo)
		r.listeners = append(r.listeners, boundServer{b.name, server, ln})
	}
	return nil
}

// Run serves until the context ends, then stops gracefully.
func (r *Runner) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp4", r.set.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, len(r.listeners)+1)
	for _, k := range r.keepers {
		go k.Run(inner)
	}
	go r.configurer.Run(inner)
	go r.dispatcher.Run(inner)
	go r.messenger.Run(inner, peers)
	go r.tickLoop(inner)
	go r.collect(inner)
	go func() { failed <- r.pinger.Run(inner) }()
	for _, b := range r.listeners {
		go func() { failed <- b.server.Serve(b.ln) }()
	}
	r.log.Info("Entry daemon started.", "part", "runner", "name", r.set.Name, "failureDomain", r.set.FailureDomain)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return r.stop()
}

func (r *Runner) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			r.state.Lock()
			pings := r.detector.Tick(now)
			r.state.Unlock()
			r.sendPings(pings)
		}
	}
}
