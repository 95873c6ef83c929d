package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxTime bounds a scenario. The processes end with this one.
const maxTime = 110 * time.Second

func main() {
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(2)
	})
	// The run.sh of a case reads TROUBLE and passes on or off.
	trouble := len(os.Args) > 3 && os.Args[3] == "on"
	var f *fleet
	switch os.Args[1] {
	case "soak":
		seed, _ := strconv.Atoi(os.Args[3])
		f = soak(out, uint64(seed), os.Args[4:])
	case "frozen-entry":
		f = frozenEntry(out, trouble)
	case "dropped-route":
		f = droppedRoute(out, trouble)
	}
	f.close()
	breaks := f.judge.finish()
	fmt.Printf("%d starts, %d jobs, %d breaks\n", f.judge.starts, len(f.judge.jobs), len(breaks))
	for i, b := range breaks {
		if i < 12 {
			fmt.Println(b)
		}
	}
	if len(breaks) > 0 {
		os.Exit(1)
	}
}

// soak plays random faults.
func soak(out io.Writer, seed uint64, kinds []string) *fleet {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(out, layout{zones: 3, edges: 2, cores: 1, workers: 3, capacity: amount{CPU: 16000, Memory: 32768}})
	has := func(k string) bool {
		for _, o := range kinds {
			if o == k {
				return true
			}
		}
		return false
	}
	ctx, stop := context.WithTimeout(context.Background(), 60*time.Second)
	defer stop()
	f.shift, f.moves = has("shift"), has("moves")
	var wg sync.WaitGroup
	var n atomic.Int64
	rate := 12.0
	for _, k := range kinds {
		if r, ok := strings.CutPrefix(k, "rate="); ok {
			rate, _ = strconv.ParseFloat(r, 64)
		}
	}
	for _, w := range f.workers {
		if has("late") {
			w.lateStart = func(string, int) (time.Duration, bool) {
				return 2*time.Second + time.Duration(rand.Float64()*float64(10*time.Second)), rand.Float64() < .06
			}
		}
		if has("lost") {
			w.loseAnswer = func(string) bool { return rand.Float64() < .05 }
		}
	}
	for _, zone := range f.zones {
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
				n.Add(1)
				wg.Go(func() { f.soakJob(ctx, zone, has) })
			}
		})
	}
	if has("conf") {
		wg.Go(func() { f.operate(ctx) })
	}
	edgeFault := func() {
		e := f.edges[rng.IntN(len(f.edges))]
		switch {
		case has("herd") && rng.IntN(6) == 0:
			var g sync.WaitGroup
			zone := f.zones[rng.IntN(3)]
			all := rng.IntN(2) == 0
			for _, o := range f.edges {
				if all || o.zone == zone {
					g.Go(func() { o.kill(time.Duration(rand.IntN(2000)) * time.Millisecond) })
				}
			}
			g.Wait()
			time.Sleep(2 * time.Second)
		case has("allcore") && rng.IntN(6) == 0:
			var g sync.WaitGroup
			for _, o := range f.cores {
				g.Go(func() { o.kill(time.Duration(rand.IntN(900)) * time.Millisecond) })
			}
			g.Wait()
			time.Sleep(2 * time.Second)
		case has("zonecut") && rng.IntN(3) == 0 && f.zoneCut.CompareAndSwap("", f.zones[rng.IntN(3)]):
			zone := f.zoneCut.Load()
			f.mesh.partition(zone.(string), time.Duration(500+rng.IntN(5500))*time.Millisecond, rng.IntN(2) == 0, func(n *node) bool { return n.zone == zone })
			f.zoneCut.Store("")
		case has("nodecut") && rng.IntN(2) == 0:
			core := rng.IntN(2) == 0
			d := time.Duration(300+rng.IntN(5000)) * time.Millisecond
			match := func(from, to *node) bool {
				return (from == e || to == e) && (!core || from.role == "core" || to.role == "core")
			}
			f.record.add("cut", "what", e.name, "core", core)
			f.mesh.cut(true, rng.IntN(2) == 0, match)
			time.Sleep(d)
			f.mesh.cut(false, false, match)
			f.record.add("cut-ends", "what", e.name)
		case has("silent") && rng.IntN(3) == 0:
			f.record.add("silence")
			f.mesh.silence(func(from, to *node) bool { return true })
			time.Sleep(2 * time.Second)
		case has("slow") && rng.IntN(2) == 0:
			e.slow(5 * time.Second)
		case has("freeze") && rng.IntN(2) == 0:
			e.freeze(time.Duration(300+rng.IntN(4700)) * time.Millisecond)
		case has("kill") && rng.IntN(2) == 0:
			e.kill(time.Duration(rng.IntN(1000)) * time.Millisecond)
		case has("term") && rng.IntN(2) == 0:
			e.terminate(time.Duration(rng.IntN(500)) * time.Millisecond)
		case has("core") && rng.IntN(2) == 0:
			c := f.cores[rng.IntN(3)]
			if rng.IntN(2) == 0 {
				c.kill(time.Duration(rng.IntN(1500)) * time.Millisecond)
			} else {
				c.freeze(time.Duration(300+rng.IntN(3700)) * time.Millisecond)
			}
		case has("mute") && rng.IntN(2) == 0:
			f.workers[rng.IntN(len(f.workers))].silence(time.Duration(200+rng.IntN(4000)) * time.Millisecond)
		case has("drain") && rng.IntN(4) == 0:
			i := rng.IntN(len(f.workers))
			w := f.workers[i]
			w.mu.Lock()
			ready := w.state == "ready" && !w.down
			w.mu.Unlock()
			if ready {
				f.workers[i] = w.leave()
			}
		case has("worker") && rng.IntN(2) == 0:
			f.workers[rng.IntN(len(f.workers))].restart(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		}
	}
	for range 2 {
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				edgeFault()
			}
		})
	}
	<-ctx.Done()
	wg.Wait()
	return f
}

// operate sends a desired state about twice a second, and reads it back at all voters.
func (f *fleet) operate(ctx context.Context) {
	type ack struct {
		at      time.Time
		version int
	}
	var acks []ack
	read := func(c *node) {
		sent := time.Now()
		status, body := f.call(time.Second, http.MethodGet, c.control, "/clementineyard/config", "", nil)
		if status != http.StatusOK {
			return
		}
		var held struct{ Version int }
		if json.Unmarshal([]byte(body), &held) != nil {
			f.judge.brokenLater("CONFIG", "%s answers a read with %.60q", c.name, body)
		}
		for _, a := range acks {
			if sent.Sub(a.at) > 2*time.Second && held.Version < a.version {
				f.judge.brokenLater("CONFIG", "%s answers a read with version %d, %.1f s after version %d was acknowledged", c.name, held.Version, sent.Sub(a.at).Seconds(), a.version)
			}
		}
	}
	for ctx.Err() == nil {
		if f.configure(3*time.Second, "") {
			acks = append(acks, ack{time.Now(), f.version})
		}
		for _, c := range f.cores {
			read(c)
		}
		time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	for _, c := range f.cores {
		read(c)
	}
}

func (f *fleet) soakJob(ctx context.Context, zone string, has func(string) bool) {
	var phases []phase
	take := func() time.Duration {
		d := 50 + rand.ExpFloat64()*300
		if rand.IntN(30) == 0 {
			d *= 7
		}
		return time.Duration(d) * time.Millisecond
	}
	d := take()
	phases = append(phases, phase{Count: 1 + rand.IntN(6), CPU: 3000 + rand.Int64N(5000), Memory: 64, EstimateMS: d.Milliseconds(), takes: d})
	if has("affinity") && rand.IntN(2) == 0 {
		phases[0].AntiAffinity, phases[0].Count = 1, 1+rand.IntN(3)
	}
	if has("steps") && rand.IntN(2) == 0 {
		for i := range 1 + rand.IntN(4) {
			d := take()
			phases = append(phases, phase{Count: 1 + rand.IntN(3), CPU: 3000 + rand.Int64N(4000), Memory: 64, EstimateMS: d.Milliseconds(), takes: d, DependsOn: []int{i}})
		}
	}
	if has("long") {
		phases = chain(5+rand.IntN(10), time.Duration(300+rand.IntN(700))*time.Millisecond, 3000)
	}
	if has("wide") {
		phases = []phase{{Count: 100 + rand.IntN(900), CPU: 20 + rand.Int64N(200), Memory: 1, EstimateMS: 100, takes: time.Duration(50+rand.IntN(300)) * time.Millisecond}}
	}
	b := f.newJob(zone, phases...)
	edges := f.edgesOf(zone)
	if len(edges) == 0 {
		return
	}
	patience := 2 * time.Second
	if has("patient") {
		patience = 10 * time.Second
	}
	at := edges[rand.IntN(len(edges))]
	if has("cancel") && rand.IntN(3) == 0 {
		go func() {
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			f.cancel(b, f.edgesOf(zone)...)
		}()
	}
	jctx := ctx
	if has("leave") && rand.IntN(4) == 0 {
		var cancel context.CancelFunc
		jctx, cancel = context.WithTimeout(ctx, time.Duration(rand.IntN(800))*time.Millisecond)
		defer cancel()
	}
	f.submit(jctx, b, at, patience, 2)
}
