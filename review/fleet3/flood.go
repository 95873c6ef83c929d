package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// residentMemory returns the memory of a process in MB, as the platform measures it; 0 where it has ended.
func (n *node) residentMemory() int {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return kb / 1024
		}
	}
	return 0
}

// memoryLimit is what an entry machine of the deployment has, in MB.
const memoryLimit = 284

// flood sends legal requests of one kind at once, at all entry machines of a zone, and watches the memory of all processes.
func flood(f *fleet, trouble bool) (broken []string, err error) {
	kind, crowd := os.Getenv("FLOOD"), 1200
	if c, err := strconv.Atoi(os.Getenv("CROWD")); err == nil {
		crowd = c
	}
	most := map[*node]int{}
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			for _, n := range f.nodes {
				most[n] = max(most[n], n.residentMemory())
			}
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	var clients sync.WaitGroup
	var statuses sync.Map
	var open atomic.Int64
	until := time.Now().Add(25 * time.Second)
	targets := f.entries(zoneNames[0])
	for _, e := range targets {
		for range crowd {
			if !trouble {
				break
			}
			clients.Go(func() {
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
				for time.Now().Before(until) {
					status := f.floodOnce(kind, e, &open, until)
					v, _ := statuses.LoadOrStore(status, new(atomic.Int64))
					v.(*atomic.Int64).Add(1)
					time.Sleep(time.Duration(200+rand.IntN(800)) * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	close(done)
	watch.Wait()
	for _, n := range f.nodes {
		f.record.printf("%s used %d MB", n.name, most[n])
		fmt.Println(n.name, most[n], "MB")
		if !n.voter && most[n] > memoryLimit {
			broken = append(broken, fmt.Sprintf("%s used %d MB of %d", n.name, most[n], memoryLimit))
		}
		select {
		case <-n.ended:
			broken = append(broken, n.name+" has ended")
		default:
		}
	}
	statuses.Range(func(k, v any) bool { fmt.Println("status", k, v.(*atomic.Int64).Load()); return true })
	if err := f.warmUp(); err != nil {
		broken = append(broken, err.Error())
	}
	return broken, nil
}

func (f *fleet) floodOnce(kind string, e *node, open *atomic.Int64, until time.Time) int {
	id := newJobID()
	switch kind {
	case "jobs", "specs", "wide":
		var phases strings.Builder
		spec, step := "work 60000", `{"count":1,"cpu":16000}`
		switch kind {
		case "specs":
			spec, step = "work 60000"+strings.Repeat("x", 3900), `{"count":1,"cpu":16000,"requirements":"`+strings.Repeat("r", 100)+`"}`
		case "wide":
			step = `{"cpu":1,"count":1}`
		}
		for i := 0; i < 9_900 && phases.Len() < 250_000; i++ {
			if phases.Len() > 0 {
				phases.WriteByte(',')
			}
			phases.WriteString(step)
		}
		body := fmt.Sprintf(`{"spec":%q,"best-effort":true,"phases":[%s]}`, spec, phases.String())
		status, _ := f.call(http.MethodPost, e.clientAddress(), queueHost, prefix+id, body, 4*time.Second)
		return status
	}
	conn, err := net.DialTimeout("tcp", e.clientAddress(), time.Second)
	if err != nil {
		return -1
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(until)
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", prefix, id, queueHost)
	switch kind {
	case "bodies":
		fmt.Fprintf(conn, "%sContent-Length: 262144\r\n\r\n%s", head, strings.Repeat("x", 262143))
	case "chunks":
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		for range 64 {
			if _, err := conn.Write([]byte(strings.Repeat("1\r\nx\r\n", 4000))); err != nil {
				return -2
			}
		}
	case "headers":
		fmt.Fprintf(conn, "%s%s", head, strings.Repeat("a:\r\n", 3900))
	case "many":
		for i := range 2000 {
			if _, err := fmt.Fprintf(conn, "GET %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n", prefix, i, queueHost, strings.Repeat("a:\r\n", 3800)); err != nil {
				return -2
			}
		}
	}
	open.Add(1)
	n, _ := io.Copy(io.Discard, conn)
	if n > 0 {
		return 1
	}
	return -3
}
