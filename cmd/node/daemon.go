package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"clementineyard/internal/taker"
	"clementineyard/internal/voter"
	"clementineyard/platform"
)

const (
	// reloadEvery is how often the settings file is read again: it may change without a signal, and its seeds may lag 3 s.
	reloadEvery = time.Second
	// metricsPort is where counters are served; deploy/system.toml names it too.
	metricsPort = "9464"
	// stopMargin is what a planned stop leaves of the time it may take: for the answers to what is left, and for the end of
	// the threads, on a VM of 0.2 cores.
	stopMargin = 900 * time.Millisecond
	answerTime = 300 * time.Millisecond
	endTime    = 100 * time.Millisecond
	// noticeTime is how long the platform goes on sending clients to a VM that is not ready: it asks once a second and
	// acts on the second miss.
	noticeTime = 2300 * time.Millisecond
	// successorEvery is how often a stopping VM looks whether its cells have other owners.
	successorEvery = 50 * time.Millisecond
	// handOverTime is how long a voter goes on after it has asked another one to lead.
	handOverTime = 300 * time.Millisecond
	// defaultGrace is assumed where the settings name no time for a planned stop.
	defaultGrace = 5 * time.Second
)

// daemon is one process: a taker, a voter, or both.
type daemon struct {
	path     string
	settings *platform.Settings
	log      *slog.Logger
	metrics  *metrics
	taker    *taker.Taker
	voter    *voter.Voter
}

func newDaemon(path string, s *platform.Settings, log *slog.Logger) (*daemon, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, eris.Wrap(err, "draw incarnation")
	}
	incarnation := binary.BigEndian.Uint64(b[:])
	d := &daemon{path: path, settings: s, log: log, metrics: newMetrics()}
	if s.TakesJobs && s.AgreesOnState {
		return nil, eris.New("settings: serves: edge and control in one process are not supported")
	}
	if s.TakesJobs {
		d.taker = taker.New(taker.Config{
			Name: s.IP, Incarnation: incarnation, FailureDomain: s.FailureDomain, Seeds: s.Seeds, Resolve: s.PeerAddress,
			Orders: platform.NewOrders(), Decode: platform.DecodeConfiguration, Lease: s.Lease, StopWithin: s.StopWithin,
			Now: time.Now, Log: log, Count: d.metrics.count,
		})
	}
	if s.AgreesOnState {
		d.voter = voter.New(voter.Config{
			Name: s.IP, Incarnation: incarnation, Seeds: s.Seeds, FirstStart: s.FirstStart, Folder: s.Folder,
			Wanted: 2*s.DisksLost + 1, ReportEvery: s.ReportEvery, Resolve: s.PeerAddress, Now: time.Now, Log: log,
		})
	}
	log.Info("Process starts.", "incarnation", incarnation, "ip", s.IP, "failureDomain", s.FailureDomain, "takesJobs", s.TakesJobs,
		"agreesOnState", s.AgreesOnState, "seeds", s.Seeds, "firstStart", s.FirstStart)
	return d, nil
}

// run serves until a planned stop is over.
func (d *daemon) run(stop context.Context, reload <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer waitBriefly(&wg)
	defer cancel()
	peers, err := net.Listen("tcp", d.settings.PeerAddress(d.settings.IP))
	if err != nil {
		return eris.Wrap(err, "listen for other VMs")
	}
	wg.Go(func() { d.watchSettings(ctx, reload) })
	if err := d.serveMetrics(); err != nil {
		return err
	}
	if d.taker != nil {
		wg.Go(func() { d.taker.Run(ctx, peers) })
		return d.serveClients(stop)
	}
	wg.Go(func() { d.voter.Run(ctx, peers) })
	return d.serveControl(stop)
}

// waitBriefly lets the threads end. Nothing depends on their end, and the time for a stop is nearly over by now.
func waitBriefly(wg *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(endTime):
	}
}

func (d *daemon) serveClients(stop context.Context) error {
	clients, err := net.Listen("tcp", d.settings.Clients)
	if err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", d.settings.Readiness)
	if err != nil {
		return eris.Wrap(err, "listen for readiness")
	}
	front := platform.NewFrontServer(&platform.Front{Taker: d.taker, Now: time.Now, Log: d.log, Count: d.metrics.count})
	requests, abandon := context.WithCancel(context.Background())
	defer abandon()
	front.BaseContext = func(net.Listener) context.Context { return requests }
	go d.serve("clients", front, clients)
	go d.serve("readiness", platform.NewReadyServer(d.taker), ready)
	<-stop.Done()
	by := time.Now().Add(d.grace())
	d.log.Info("Process stops.", "by", by)
	d.taker.Stop()
	time.Sleep(noticeTime)
	late := time.AfterFunc(time.Until(by), func() {
		d.log.Info("Requests that are left are given up.")
		abandon()
	})
	defer late.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), by.Add(answerTime))
	defer cancel()
	err = front.Shutdown(ctx)
	d.awaitSuccessors(by)
	d.log.Info("Process has stopped.", "unanswered", err != nil, "owns", d.taker.Owns())
	return nil
}

// awaitSuccessors waits until other VMs own the cells of this one. In a failure domain that is cut off from the voters
// nobody can take them over, and their workers take nothing once this process has ended.
func (d *daemon) awaitSuccessors(by time.Time) {
	for d.taker.Owns() && time.Now().Before(by) {
		time.Sleep(successorEvery)
	}
}

func (d *daemon) serve(what string, s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("Listener has ended.", "for", what, "error", err)
	}
}

func (d *daemon) serveControl(stop context.Context) error {
	ln, err := net.Listen("tcp", d.settings.Control)
	if err != nil {
		return eris.Wrap(err, "listen for operators and workers")
	}
	s := platform.NewControlServer(&platform.Control{Voter: d.voter, Now: time.Now, Log: d.log, Count: d.metrics.count})
	go func() {
		if err := s.Serve(ln); err != nil {
			d.log.Error("Listener has ended.", "for", "operators and workers", "error", err)
		}
	}()
	<-stop.Done()
	by := time.Now().Add(d.grace())
	d.log.Info("Process stops.", "by", by)
	d.voter.Stop()
	time.Sleep(handOverTime)
	d.shutDown(s, by)
	return nil
}

func (d *daemon) shutDown(s *fasthttp.Server, by time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	err := s.ShutdownWithContext(ctx)
	d.log.Info("Process has stopped.", "unanswered", err != nil)
}

func (d *daemon) grace() time.Duration {
	if d.settings.StopBy <= stopMargin {
		return defaultGrace
	}
	return d.settings.StopBy - stopMargin
}

// watchSettings reads the settings again when told to, and every second. Only the seeds of a running process may change.
func (d *daemon) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	seeds := d.settings.Seeds
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			d.log.Info("Settings are read again on a signal.")
		case <-t.C:
		}
		s, err := platform.LoadSettings(d.path)
		if err != nil {
			d.log.Warn("Settings cannot be read; the former ones stay.", "error", err)
			continue
		}
		if slices.Equal(s.Seeds, seeds) {
			continue
		}
		d.log.Info("Seeds have changed.", "seeds", s.Seeds, "before", seeds)
		seeds = s.Seeds
		if d.taker != nil {
			d.taker.AddSeeds(seeds)
		}
		if d.voter != nil {
			d.voter.AddSeeds(seeds)
		}
	}
}
