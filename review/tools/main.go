// Command review-standin plays the cases of the review against processes of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. trouble is false for the run without the disruption.
type play func(f *fleet, trouble bool) (broken bool, err error)

// reviewCase is a case and its deployment.
type reviewCase struct {
	entriesPerZone, workersPerZone int
	coreMemoryMB, coreDiskMB       int
	services                       []string
	play                           play
}

var cases = map[string]reviewCase{
	"cancel": {1, 2, 280, 128, []string{firstService}, playCancel},
	"growth": {1, 0, memoryLimitMB, 192, nil, playGrowth},
	"lag":    {1, 0, memoryLimitMB, 192, nil, playLag},
	"hosts":  {1, 2, 280, 128, []string{firstService, secondService}, playHosts},
}

func main() {
	if len(os.Args) != 4 || os.Args[2] != "on" && os.Args[2] != "off" {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE on|off RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[3], os.Args[2] == "on"))
}

func run(name, recordPath string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	rec := &record{out: out, start: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(dir, rec, c)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	for i := range c.workersPerZone * len(zones) {
		w, err := newWorker(f, i, zones[i%len(zones)], c.services[i/len(zones)%len(c.services)])
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		f.workers = append(f.workers, w)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		defer func() { _ = os.CopyFS(filepath.Clean(keep), os.DirFS(dir)) }()
	}
	rec.note("trouble: %v", trouble)
	if err := f.startAll(config); err != nil {
		rec.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := c.play(f, trouble)
	switch {
	case err != nil:
		rec.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.note("the rule was broken")
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
