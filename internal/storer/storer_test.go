package storer_test

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

var quiet = slog.New(slog.DiscardHandler)

// writeThreeBatches initialises dir and writes three batches. It returns the length of the log in bytes before the first
// batch and after each, and the disk ID.
func writeThreeBatches(t *testing.T, dir string) (ends []int, id string) {
	t.Helper()
	if err := storer.Initialise(dir); err != nil {
		t.Fatal(err)
	}
	s, st, err := storer.Open(dir, quiet)
	if err != nil || st.NewIdentity || !st.Founder {
		t.Fatalf("open: %v, %+v", err, st)
	}
	ends = append(ends, logSize(t, dir))
	for i := uint64(1); i <= 3; i++ {
		b := storer.Batch{
			HardState:   &storer.HardState{Term: i, Vote: "vm/disk"},
			Entries:     []*wire.ConfigEntry{{Index: i, Term: i, Change: &wire.Change{Id: "c", Author: "someone"}}},
			CommitIndex: i - 1,
		}
		if err := s.Sync(b); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, logSize(t, dir))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return ends, st.DiskID
}

func logSize(t *testing.T, dir string) int {
	t.Helper()
	return len(readFile(t, dir, "log"))
}

func readFile(t *testing.T, dir, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func writeFile(t *testing.T, dir, name string, b []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestTornTailAtEveryByte guards against a truncated last frame that hides acknowledged entries, or that makes the log
// unreadable.
func TestTornTailAtEveryByte(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	ends, id := writeThreeBatches(t, dir)
	whole := readFile(t, dir, "log")
	for n := ends[0]; n <= len(whole); n++ {
		for _, tail := range [][]byte{nil, make([]byte, 40)} {
			writeFile(t, dir, "log", append(bytes.Clone(whole[:n]), tail...))
			want := 0
			for want+1 < len(ends) && ends[want+1] <= n {
				want++
			}
			if tail != nil && n != ends[want] {
				// Zeros in place of truncated data count as damage, which is allowed: the entry is not read as valid.
				continue
			}
			s, st, err := storer.Open(dir, quiet)
			if err != nil {
				t.Fatal(err)
			}
			if st.NewIdentity || st.DiskID != id || len(st.Entries) != want || st.Term != uint64(want) {
				t.Fatalf("truncated at byte %d: %d entries, term %d, fresh %t, want %d entries", n, len(st.Entries), st.Term, st.NewIdentity, want)
			}
			// The log can be continued after the truncation.
			e := &wire.ConfigEntry{Index: uint64(want) + 1, Term: 9}
			if err := errors.Join(s.Sync(storer.Batch{Entries: []*wire.ConfigEntry{e}}), s.Close()); err != nil {
				t.Fatal(err)
			}
			if _, st, err = storer.Open(dir, quiet); err != nil || len(st.Entries) != want+1 {
				t.Fatalf("truncated at byte %d, then one more entry: %v, %d entries", n, err, len(st.Entries))
			}
		}
	}
}

// TestFlippedBits guards against damaged bytes that are read as valid, and against a damaged disk that keeps its identity
// and so its vote. Each bit of each file is flipped, including the last frame: it was synced, so it may have been
// acknowledged.
func TestFlippedBits(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	_, id := writeThreeBatches(t, dir)
	s, st, err := storer.Open(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	st.Snapshot = &wire.ConfigSnapshot{Index: 2, Term: 2, Version: 2}
	if err := errors.Join(s.Compact(st), s.Sync(storer.Batch{CommitIndex: 3}), s.Close()); err != nil {
		t.Fatal(err)
	}
	good := map[string][]byte{}
	for _, name := range []string{"identity", "log", "snapshot"} {
		good[name] = readFile(t, dir, name)
	}
	for name, b := range good {
		for bit := range 8 * len(b) {
			for n, g := range good {
				writeFile(t, dir, n, g)
			}
			bad := bytes.Clone(b)
			bad[bit/8] ^= 1 << (bit % 8)
			writeFile(t, dir, name, bad)
			s, st, err := storer.Open(dir, quiet)
			if err != nil {
				t.Fatal(err)
			}
			_ = s.Close()
			if !st.NewIdentity || st.Founder || st.DiskID == id || len(st.Entries) > 0 || st.Term > 0 || st.Snapshot != nil {
				t.Fatalf("%s with bit %d flipped was read as %+v", name, bit, st)
			}
			aside, _ := filepath.Glob(filepath.Join(dir, name+".damaged-*"))
			if len(aside) != 1 || !bytes.Equal(readFile(t, dir, filepath.Base(aside[0])), bad) {
				t.Fatalf("damaged %s was not kept: %v", name, aside)
			}
			all, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*"))
			for _, f := range all {
				_ = os.Remove(f)
			}
		}
	}
}

// TestCrashWithinCompact guards against a data folder that cannot be opened after a crash between the writes of the
// snapshot and the log.
func TestCrashWithinCompact(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	_, id := writeThreeBatches(t, dir)
	old := readFile(t, dir, "log")
	s, st, err := storer.Open(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	st.Snapshot = &wire.ConfigSnapshot{Index: 9, Term: 4, Version: 7}
	st.BaseIndex, st.BaseTerm, st.Entries, st.CommitIndex = 9, 4, nil, 9
	if err := errors.Join(s.Compact(st), s.Close()); err != nil {
		t.Fatal(err)
	}
	writeFile(t, dir, "log", old)
	for range 2 {
		s, got, err := storer.Open(dir, quiet)
		if err != nil || got.DiskID != id || got.CommitIndex != 9 || got.BaseIndex != 9 || !proto.Equal(got.Snapshot, st.Snapshot) {
			t.Fatalf("%v, %+v", err, got)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestInitialiseOnce guards against a second identity for the same disk, and against a voter that is a founder although
// it was started without --initialise.
func TestInitialiseOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	if _, st, err := storer.Open(dir, quiet); err != nil || !st.NewIdentity || st.Founder || len(strings.TrimSpace(st.DiskID)) != 32 {
		t.Fatalf("%v, %+v", err, st)
	}
	if err := storer.Initialise(dir); !errors.Is(err, storer.ErrInitialised) {
		t.Fatalf("second identity: %v", err)
	}
}
