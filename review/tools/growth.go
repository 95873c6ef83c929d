package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

func manyRoutes(version, routes int) []byte {
	var list []any
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%07x", i), "host": fmt.Sprintf("nony%d.example", i), "path-prefix": "/lohu930/", "kind": "non_idempotent", "timeout-ms": 15000 + version,
			"target-latency-ms": 60, "priority": 0, "service": "huvo11a", "max-attempts": 4, "stretch-factor": 1.6,
		})
	}
	content, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": "huvo11a", "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return content
}

func rss(m *machine) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n / 1024
		}
	}
	return 0
}

func playGrowth(f *fleet, trouble bool) (bool, error) {
	n, _ := strconv.Atoi(os.Getenv("ROUTES"))
	size := 0
	for i := 0; i < 220; i++ {
		f.version++
		b := manyRoutes(f.version, n)
		size = len(b)
		at := time.Now()
		st := f.putConfig(f.voters[i%3], b)
		if i%20 == 0 || st != http.StatusOK {
			line := fmt.Sprintf("%d: put of %d bytes: %d after %v;", i, size, st, time.Since(at).Round(time.Millisecond))
			for _, v := range f.voters {
				var disk int64
				files, _ := filepath.Glob(filepath.Join(f.dir, v.name, "*"))
				for _, p := range files {
					if s, err := os.Stat(p); err == nil {
						disk += s.Size()
					}
				}
				line += fmt.Sprintf(" rss %d MB disk %d MB", rss(v), disk>>20)
			}
			f.rec.note("%s", line)
		}
	}
	return false, nil
}
