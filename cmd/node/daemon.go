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

	"clementineyard/internal/acceptor"
	"clementineyard/internal/allocator"
	"clementineyard/internal/taker"
	"clementineyard/internal/timekeeper"
	"clementineyard/internal/voter"
	"clementineyard/platform"
)

const (
	// settingsReloadInterval is the interval at which the settings file is read again. The file may change without a
	// signal, and its seeds may lag by 3 s.
	settingsReloadInterval = time.Second
	// metricsPort is the port on which counters are served. deploy/system.toml names it as well.
	metricsPort = "9464"
	// stopMargin is the part of the time for a planned stop that remains after the grace period: for the responses to the
	// cancelled requests and for the exit of the goroutines, on a VM of 0.2 cores.
	stopMargin = 900 * time.Millisecond
	// cancelledResponseTime is how long the responses to cancelled requests may take.
	cancelledResponseTime = 300 * time.Millisecond
	// goroutineExitTime is how long the process waits for its goroutines before it exits.
	goroutineExitTime = 100 * time.Millisecond
	// notReadyNoticeTime is how long the platform goes on sending clients to a VM that is not ready. It checks readiness
	// once a second and acts on the second failure.
	notReadyNoticeTime = 2300 * time.Millisecond
	// successorPollInterval is the interval at which a stopping VM checks whether its cells have new owners.
	successorPollInterval = 50 * time.Millisecond
	// leadershipTransferTime is how long a voter goes on after it has asked another one to become leader.
	leadershipTransferTime = 300 * time.Millisecond
	// minClientBytes and minControlBytes hold the largest request of a client (a body of 256 KiB and a header of 16 KiB with
	// very many lines) and of an operator (8 MiB), beside the half of each that its buffer had before it grew.
	minClientBytes  = 2 << 20
	minControlBytes = 16 << 20
	// jobShare divides the bytes of requests, for the jobs of the cells that this VM owns.
	jobShare = 2
	// defaultGracePeriod applies where the settings give a planned stop no time, or no more than stopMargin.
	defaultGracePeriod = 5 * time.Second
)

// daemon is the process on a VM. It runs a taker or a voter; the other one is nil.
type daemon struct {
	settingsPath string
	settings     *platform.Settings
	log          *slog.Logger
	clock        *timekeeper.Timekeeper
	metrics      *metrics
	acceptor     *acceptor.Acceptor
	taker        *taker.Taker
	voter        *voter.Voter
}

// newDaemon returns a daemon in the role that the settings give, with a random incarnation. It returns an error for
// settings with both roles.
func newDaemon(settingsPath string, s *platform.Settings, log *slog.Logger) (*daemon, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, eris.Wrap(err, "generate incarnation")
	}
	incarnation := binary.BigEndian.Uint64(random[:])
	d := &daemon{settingsPath: settingsPath, settings: s, log: log, metrics: newMetrics()}
	minBytes, buffer := int64(minClientBytes), acceptor.ClientBuffer
	if s.RunsVoter {
		minBytes, buffer = minControlBytes, acceptor.ControlBuffer
	}
	limits := acceptor.MachineLimits(s.Memory, s.Descriptors, minBytes)
	limits.Buffer = buffer
	d.acceptor = acceptor.New(acceptor.Config{Limits: limits, Log: log, Count: d.metrics.count})
	d.clock = timekeeper.New(timekeeper.Config{Clocks: timekeeper.SystemClocks(), Log: log})
	if s.ServesClients && s.RunsVoter {
		return nil, eris.New("settings: serves: edge and control in one process are not supported")
	}
	if s.ServesClients {
		d.taker = taker.New(taker.Config{
			Name: s.IP, Incarnation: incarnation, FailureDomain: s.FailureDomain, Millicores: s.Millicores, Seeds: s.Seeds, Resolve: s.PeerAddress,
			Orders: platform.NewWorkerOrders(d.clock.Now, d.log), Decode: platform.DecodeAgreedConfiguration, MaxLease: s.MaxLease, MaxStopTime: s.MaxRunStopTime,
			Memory:         &allocator.JobMemory{Limit: limits.Bytes / jobShare},
			ReportInterval: s.ReportInterval, Now: d.clock.Now, ResumedAt: d.clock.ResumedAt, Log: log, Count: d.metrics.count,
		})
	}
	if s.RunsVoter {
		d.voter = voter.New(voter.Config{
			Name: s.IP, Incarnation: incarnation, Seeds: s.Seeds, FirstStart: s.FirstStart, DataFolder: s.DataFolder, FailureDomains: s.FailureDomains,
			TargetVoters: 2*s.ToleratedFailures + 1, CatchUpTime: s.CatchUpTime, ReportInterval: s.ReportInterval, Resolve: s.PeerAddress, Now: d.clock.Now, Log: log,
			Count: d.metrics.count,
		})
	}
	log.Info("Process is starting.", "incarnation", incarnation, "ip", s.IP, "failureDomain", s.FailureDomain, "takesJobs", s.ServesClients,
		"agreesOnState", s.RunsVoter, "seeds", s.Seeds, "firstStart", s.FirstStart)
	return d, nil
}

// run serves until stop is done and the planned stop that follows is complete. A value on reload makes the daemon read
// its settings again.
func (d *daemon) run(stop context.Context, reload <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	defer waitForGoroutines(&goroutines)
	defer cancel()
	peers, err := net.Listen("tcp", d.settings.PeerAddress(d.settings.IP))
	if err != nil {
		return eris.Wrap(err, "listen for other VMs")
	}
	peers = d.acceptor.Listen(peers, acceptor.Peers)
	goroutines.Go(func() { d.acceptor.Run(ctx) })
	goroutines.Go(func() { d.clock.Run(ctx) })
	goroutines.Go(func() { d.watchSettings(ctx, reload) })
	if err := d.serveMetrics(); err != nil {
		return err
	}
	if d.taker != nil {
		goroutines.Go(func() { d.taker.Run(ctx, peers) })
		return d.serveClients(stop)
	}
	goroutines.Go(func() { d.voter.Run(ctx, peers) })
	return d.serveControl(stop)
}

// waitForGoroutines waits for the goroutines to exit, but no longer than goroutineExitTime: nothing depends on their
// exit, and the time for a planned stop is nearly over.
func waitForGoroutines(goroutines *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(goroutineExitTime):
	}
}

// serveClients serves clients and readiness checks. On a planned stop it reports that the VM is not ready, lets
// requests finish within the grace period, cancels the remaining ones, and waits for other VMs to take over the cells.
func (d *daemon) serveClients(stop context.Context) error {
	address, err := net.ResolveTCPAddr("tcp", d.settings.ClientAddress)
	if err != nil {
		return eris.Wrap(err, "resolve the address for clients")
	}
	clients, err := net.ListenTCP("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	readiness, err := net.Listen("tcp", d.settings.ReadinessAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	handler := &platform.ClientHandler{Taker: d.taker, Now: d.clock.Now, Log: d.log, Count: d.metrics.count, Acceptor: d.acceptor}
	server := newDrainingServer(platform.NewClientServer(handler), clients)
	server.admit = func(ln net.Listener) net.Listener { return d.acceptor.Listen(ln, acceptor.Requests) }
	requests, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	server.BaseContext = func(net.Listener) context.Context { return requests }
	go d.serveDraining(server)
	go d.serve("readiness", platform.NewReadinessServer(d.taker), d.acceptor.Listen(readiness, acceptor.Readiness))
	<-stop.Done()
	deadline := time.Now().Add(d.gracePeriod())
	d.log.Info("Process is stopping.", "by", deadline)
	d.taker.BeginStop()
	time.Sleep(notReadyNoticeTime)
	cancelTimer := time.AfterFunc(time.Until(deadline), func() {
		d.log.Info("Grace period ended; the process cancels the remaining requests.")
		cancelRequests()
	})
	defer cancelTimer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(cancelledResponseTime))
	defer cancel()
	err = server.Drain(ctx)
	d.awaitSuccessors(deadline)
	d.log.Info("Process has stopped.", "unanswered", err != nil, "owns", d.taker.OwnsCell())
	return nil
}

// awaitSuccessors waits until other VMs own this VM's cells, at most until the deadline. In a failure domain that is
// cut off from the voters no VM can take them over, and their workers get no new tasks once this process has ended.
func (d *daemon) awaitSuccessors(deadline time.Time) {
	for d.taker.OwnsCell() && time.Now().Before(deadline) {
		time.Sleep(successorPollInterval)
	}
}

// serveDraining serves clients until the server is drained, and logs any other end.
func (d *daemon) serveDraining(server *drainingServer) {
	if err := server.Run(); err != nil {
		d.log.Error("HTTP server failed.", "for", "clients", "error", err)
	}
}

// serve serves HTTP on ln until the server is shut down, and logs any other end.
func (d *daemon) serve(purpose string, server *http.Server, ln net.Listener) {
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("HTTP server failed.", "for", purpose, "error", err)
	}
}

// serveControl serves operators and workers. On a planned stop it hands over leadership before it shuts the server
// down.
func (d *daemon) serveControl(stop context.Context) error {
	ln, err := net.Listen("tcp", d.settings.ControlAddress)
	if err != nil {
		return eris.Wrap(err, "listen for operators and workers")
	}
	server := platform.NewControlServer(&platform.ControlHandler{Voter: d.voter, Now: d.clock.Now, ResumedAt: d.clock.ResumedAt, Log: d.log, Count: d.metrics.count, Acceptor: d.acceptor})
	ln = d.acceptor.Listen(ln, acceptor.Requests)
	go func() {
		if err := server.Serve(ln); err != nil {
			d.log.Error("HTTP server failed.", "for", "operators and workers", "error", err)
		}
	}()
	<-stop.Done()
	deadline := time.Now().Add(d.gracePeriod())
	d.log.Info("Process is stopping.", "by", deadline)
	d.voter.TransferLeadership()
	time.Sleep(leadershipTransferTime)
	d.shutDownControl(server, deadline)
	return nil
}

// shutDownControl shuts the server down, waiting for open requests at most until the deadline.
func (d *daemon) shutDownControl(server *fasthttp.Server, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.ShutdownWithContext(ctx)
	d.log.Info("Process has stopped.", "unanswered", err != nil)
}

// gracePeriod returns how long open requests may take to finish in a planned stop.
func (d *daemon) gracePeriod() time.Duration {
	if d.settings.StopTimeout <= stopMargin {
		return defaultGracePeriod
	}
	return d.settings.StopTimeout - stopMargin
}

// watchSettings reads the settings again on each signal and at every settingsReloadInterval. Only the seeds of a
// running process can change.
func (d *daemon) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	seeds := d.settings.Seeds
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			d.log.Info("Process received a signal and reloads its settings.")
		case <-ticker.C:
		}
		reloaded, err := platform.LoadSettings(d.settingsPath)
		if err != nil {
			d.log.Warn("Process could not load its settings; it keeps the previous ones.", "error", err)
			continue
		}
		if slices.Equal(reloaded.Seeds, seeds) {
			continue
		}
		d.log.Info("Seeds have changed.", "seeds", reloaded.Seeds, "before", seeds)
		seeds = reloaded.Seeds
		if d.taker != nil {
			d.taker.AddSeeds(seeds)
		}
		if d.voter != nil {
			d.voter.SetSeeds(seeds)
		}
	}
}
