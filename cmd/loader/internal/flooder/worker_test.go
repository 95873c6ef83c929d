package flooder

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/imitator"
)

const workerIP = "127.0.4.9"

// startWorker starts a stand-in for a worker, which reports itself at a control address. A task's spec is its run time in
// milliseconds.
func startWorker(t *testing.T, controlAddress string) {
	ln, err := net.Listen("tcp", net.JoinHostPort(workerIP, "0"))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	born := time.Now()
	model := imitator.New(born, born.UnixMilli(), time.Second, 50*time.Millisecond)
	serve := func(w http.ResponseWriter, r *http.Request) {
		var order struct {
			Task     string `json:"task"`
			Attempt  int    `json:"attempt"`
			Spec     string `json:"spec"`
			LeaseEnd int64  `json:"deadline-ms"`
			Fence    uint64 `json:"fencing-token"`
			Ack      uint64 `json:"ack-cursor"`
			WaitMS   int64  `json:"wait-ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		answer := map[string]any{"clock-ms": model.Clock(now), "born": model.Born}
		switch r.URL.Path {
		case "/clementineyard/run-start":
			milliseconds, _ := strconv.Atoi(order.Spec)
			model.Start(now, order.Fence, order.LeaseEnd, imitator.Run{
				Task: order.Task, Attempt: order.Attempt, EndsAt: now.Add(time.Duration(milliseconds) * time.Millisecond),
			})
		case "/clementineyard/run-stop":
			model.Stop(now, order.Fence, order.Task, order.Attempt)
		default:
			model.Hold(now, order.Fence, order.LeaseEnd, order.Ack)
			for until := now.Add(time.Duration(order.WaitMS) * time.Millisecond); model.MustWait(order.Ack) && now.Before(until); now = time.Now() {
				mu.Unlock()
				time.Sleep(sampleInterval / 4)
				mu.Lock()
				model.Advance(time.Now())
			}
			listing, _ := model.Hold(now, order.Fence, 0, order.Ack)
			running, ended := [][]any{}, [][]any{}
			for _, run := range listing.Running {
				running = append(running, []any{run.Task, run.Attempt, "", run.Percent})
			}
			names := map[allocator.EndKind]string{allocator.EndDone: "done", allocator.EndStopped: "stopped", allocator.EndLeaseExpired: "lapsed"}
			for _, e := range listing.Ended {
				ended = append(ended, []any{e.Number, e.Task, e.Attempt, names[e.Kind], ""})
			}
			answer["clock-ms"], answer["running"], answer["ended-runs"] = listing.Clock, running, ended
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
	server := &http.Server{Handler: http.HandlerFunc(serve), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for sequence := 1; t.Context().Err() == nil; sequence++ {
			report := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"north","slots":8,"state":"ready","born":%d,"sequence":%d,`+
				`"capacity":{"cpu":%d,"mem-mb":1000,"gpu":0}}`, ln.Addr(), model.Born, sequence, workerMillicores)
			// A voter under test may refuse it.
			_ = httpRequest(http.MethodPut, "http://"+controlAddress+"/clementineyard/instances/w-1", "", report, http.StatusOK)
			time.Sleep(reportInterval)
		}
	}()
}
