package runner_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/configurer"
	"clementineyard/internal/dispatcher"
	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
	"clementineyard/internal/router"
	"clementineyard/internal/scheduler"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

const (
	benchmarkDomain  = "casa-a"
	benchmarkServers = 50
	benchmarkSlots   = 8
	benchmarkCallers = 16
)

// startFakeServer starts a backend server that answers every request with the same bytes and returns its address. It
// parses nothing but the content length, so that it adds little to the measured CPU time.
func startFakeServer(b *testing.B) string {
	b.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerRequests(c)
		}
	}()
	return ln.Addr().String()
}

// serverBytes counts the bytes that fake servers read and write, callerBytes those of the bodies of jobs and answers.
var serverBytes, callerBytes atomic.Int64

func answerRequests(c net.Conn) {
	defer func() { _ = c.Close() }()
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n{\"server\":\"s1\"}")
	length := []byte("Content-Length: ")
	r := bufio.NewReader(c)
	for {
		bodyBytes, headerBytes := 0, 0
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			headerBytes += len(line)
			if len(line) <= len("\r\n") {
				break
			}
			if bytes.HasPrefix(line, length) {
				bodyBytes, _ = strconv.Atoi(string(bytes.TrimSpace(line[len(length):])))
			}
		}
		if _, err := r.Discard(bodyBytes); err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		serverBytes.Add(int64(headerBytes + bodyBytes + len(answer)))
	}
}

// acknowledgingRecords behaves like a keeper whose group acknowledges all records without delay.
func acknowledgingRecords(ctx context.Context) dispatcher.RecordKeeper {
	calls := make(chan func(), 4096)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-calls:
				f()
			}
		}
	}()
	enqueue := func(f func()) bool {
		calls <- f
		return true
	}
	return dispatcher.RecordKeeper{
		Begin: func(_ recorder.Record, done func(recorder.Verdict, *wire.Answer)) bool {
			return enqueue(func() { done(recorder.VerdictNew, nil) })
		},
		Abandon: func(recorder.Key) bool { return true },
		Commit:  func(_ recorder.Key, done func(bool)) bool { return enqueue(func() { done(true) }) },
		Finish:  func(_ recorder.Key, _ *wire.Answer, done func(bool)) bool { return enqueue(func() { done(true) }) },
	}
}

// startOwner runs the listener, router, dispatcher and sender of an owner and returns the address for callers.
func startOwner(b *testing.B, tasksPerJob int) string {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	file := &parser.TaskFile{
		Service: "desk", MaxQueued: 10 * benchmarkCallers * tasksPerJob, Overload: "queue",
		Tasks: []parser.TaskSpec{{Name: "lookUp", Timeout: parser.Duration{Duration: time.Minute}}},
	}
	cfg := &configurer.Configuration{Version: 1, Services: map[string]*parser.TaskFile{"desk": file}}
	taskSender := sender.New()
	d := dispatcher.New(dispatcher.Config{
		Scheduler: scheduler.New(scheduler.Config{Seed: 1}), Records: acknowledgingRecords(ctx), Send: taskSender.Send, Stop: taskSender.Stop, Now: time.Now,
		RefusalReason: cfg.RefusalReason,
	})
	go d.Run(ctx)
	d.Configure(cfg.SchedulerServices())
	d.SetOwner(true)
	for i := range benchmarkServers {
		d.Announce(scheduler.Announcement{
			Name: fmt.Sprint("server-", i), Incarnation: 1, Address: startFakeServer(b), Services: []string{"desk"}, Slots: benchmarkSlots,
			Connections: 64, LeaseUntil: time.Now().Add(time.Hour),
		})
	}
	// Submissions have their own queue and could be handled before the change of ownership.
	ready := make(chan struct{})
	d.Lookup("", func(bool) { close(ready) })
	<-ready
	r := router.New(router.Config{
		Name: "casa-a-1", FailureDomain: benchmarkDomain, EntryVMs: map[string][]string{benchmarkDomain: {"casa-a-1"}},
		Owner: func(string) (string, bool) { return "casa-a-1", true }, Dispatch: d.Submit, Now: time.Now,
		After: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	})
	limits := parser.Limits{BodyBytes: 1 << 20, HeaderBytes: 8 << 10, TasksPerJob: 1200, Connections: 4096}
	c := &listener.CallerAPI{
		FailureDomain: benchmarkDomain, Limits: limits, Current: func() *configurer.Configuration { return cfg }, Submit: r.Submit, Now: time.Now,
	}
	ln, err := listener.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := listener.NewServer(limits, c.Handle)
	go func() { _ = s.Serve(ln) }()
	b.Cleanup(func() { _ = s.Shutdown() })
	return ln.Addr().String()
}

func jobBody(tasks int) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `{"key":%q,"team":"runners","service":"desk","tasks":[`, recorder.NewKey(benchmarkDomain, time.Now()))
	for i := range tasks {
		if i > 0 {
			buf.WriteByte(',')
		}
		fmt.Fprintf(&buf, `{"id":"%d","task":"lookUp","payload":{"id":"%d","runMilliseconds":20},"runTimeMilliseconds":20}`, i, i)
	}
	buf.WriteString("]}")
	return buf.Bytes()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPath sends tasks through the whole path of an entry process over loopback: HTTP in, routing, scheduling,
// HTTP out, answer. One operation is the start of one task. The CPU time includes the callers and the fake servers.
func BenchmarkPath(b *testing.B) {
	for _, tasks := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("tasksPerJob=%d", tasks), func(b *testing.B) {
			address := startOwner(b, tasks)
			jobs := (b.N + tasks - 1) / tasks
			var sent atomic.Int64
			errs := make(chan error, benchmarkCallers)
			b.ReportAllocs()
			serverBytes.Store(0)
			callerBytes.Store(0)
			b.ResetTimer()
			before := cpuTime()
			for range benchmarkCallers {
				go func() { errs <- submitJobs(address, tasks, func() bool { return sent.Add(1) <= int64(jobs) }) }()
			}
			for range benchmarkCallers {
				if err := <-errs; err != nil {
					b.Fatal(err)
				}
			}
			used := cpuTime() - before
			b.ReportMetric(float64(used.Microseconds())/float64(jobs*tasks), "cpuMicroseconds/start")
			b.ReportMetric(float64(jobs*tasks)/b.Elapsed().Seconds(), "starts/s")
			b.ReportMetric(float64(serverBytes.Load())/float64(jobs*tasks), "serverBytes/start")
			b.ReportMetric(float64(callerBytes.Load())/float64(jobs*tasks), "callerBytes/start")
		})
	}
}

// submitJobs submits jobs on one connection, one after the other, while more returns true.
func submitJobs(address string, tasks int, more func() bool) error {
	client := &fasthttp.HostClient{Addr: address, MaxConns: 1}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + address + "/v1/jobs")
	req.Header.SetMethod(fasthttp.MethodPost)
	body := jobBody(tasks)
	tail := body[bytes.IndexByte(body, ','):]
	for more() {
		req.SetBody(append(fmt.Appendf(nil, `{"key":%q`, recorder.NewKey(benchmarkDomain, time.Now())), tail...))
		if err := client.Do(req, resp); err != nil {
			return err
		}
		callerBytes.Add(int64(len(req.Body()) + len(resp.Body())))
		if !bytes.Contains(resp.Body(), []byte(`"state":"complete"`)) {
			return fmt.Errorf("status %d: %.200s", resp.StatusCode(), resp.Body())
		}
	}
	return nil
}
