package coordinator

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"clementineyard/wire"
)

const (
	// memoryLimit and diskLimit, in bytes, are those of the smallest VM that runs a voter.
	memoryLimit, diskLimit = 280 << 20, 128 << 20
	// largeConfiguration is the size in bytes of a configuration with some ten thousand queues.
	largeConfiguration = 2_900_000
)

// run runs the voter until stop is called.
func run(c *Coordinator) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	return func() { cancel(); <-ended }
}

// TestLargeConfigurationsFitVM guards against a voter that exceeds its VM's memory or disk after some dozens of changes of a
// large configuration, and at each start after that, because its log is bounded by the number of entries alone.
func TestLargeConfigurationsFitVM(t *testing.T) {
	const changes = 120
	folder := t.TempDir()
	c := newCoordinator(folder)
	stop := run(c)
	for version := uint64(1); version <= changes; version++ {
		content := bytes.Repeat([]byte{byte(version)}, largeConfiguration)
		if r := proposeContent(t, c, version, content, 5*time.Second); r.Verdict != wire.AgreedResult_VERDICT_COMMITTED {
			t.Fatalf("version %d: %v", version, r.Verdict)
		}
		if size := folderSize(t, folder); size > diskLimit {
			t.Fatalf("version %d: the data folder holds %d bytes", version, size)
		}
	}
	// The collector lets the heap grow to twice what is in use.
	if used := heapInUse(); used > memoryLimit/2 {
		t.Errorf("%d bytes of memory are in use after %d changes", used, changes)
	}
	stop()
	before := allocated()
	c = newCoordinator(folder)
	stop = run(c)
	defer stop()
	if r := propose(t, c, 1, 5*time.Second); r.Verdict != wire.AgreedResult_VERDICT_COMMITTED {
		t.Fatalf("version 1 after a restart: %v", r.Verdict)
	}
	if took := allocated() - before; took > memoryLimit/2 {
		t.Errorf("%d bytes of memory were allocated for a restart", took)
	}
	if r := propose(t, c, changes+1, 5*time.Second); r.State.GetConfig().GetVersion() != changes+1 {
		t.Fatalf("version %d is in force after a restart", r.State.GetConfig().GetVersion())
	}
}

func folderSize(t *testing.T, folder string) (size int64) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		// A file may be renamed meanwhile.
		if info, err := os.Stat(f); err == nil {
			size += info.Size()
		}
	}
	return size
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
