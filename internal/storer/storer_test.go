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

// fill writes three batches and returns the log's length after each.
func fill(t *testing.T, dir string) (ends []int, id string) {
	t.Helper()
	if err := storer.Initialise(dir); err != nil {
		t.Fatal(err)
	}
	s, st, err := storer.Open(dir, quiet)
	if err != nil || st.Fresh || !st.Founder {
		t.Fatalf("open: %v, %+v", err, st)
	}
	ends = append(ends, size(t, dir))
	for i := uint64(1); i <= 3; i++ {
		b := storer.Batch{
			Hard:    &storer.HardState{Term: i, Vote: "vm/disk"},
			Entries: []*wire.ConfigEntry{{Index: i, Term: i, Change: &wire.Change{Id: "c", Author: "someone"}}},
			Commit:  i - 1,
		}
		if err := s.Sync(b); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, size(t, dir))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return ends, st.DiskID
}

func size(t *testing.T, dir string) int {
	t.Helper()
	return len(read(t, dir, "log"))
}

func read(t *testing.T, dir, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func write(t *testing.T, dir, name string, b []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Guards against a torn tail that hides acknowledged entries, or that makes the log unreadable.
func TestTornTailAtEveryByte(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	ends, id := fill(t, dir)
	whole := read(t, dir, "log")
	for n := ends[0]; n <= len(whole); n++ {
		for _, tail := range [][]byte{nil, make([]byte, 40)} {
			write(t, dir, "log", append(bytes.Clone(whole[:n]), tail...))
			want := 0
			for want+1 < len(ends) && ends[want+1] <= n {
				want++
			}
			if tail != nil && n != ends[want] {
				// Zeros in place of data that was cut look like damage, which is allowed: the entry is not read as good.
				continue
			}
			s, st, err := storer.Open(dir, quiet)
			if err != nil {
				t.Fatal(err)
			}
			if st.Fresh || st.DiskID != id || len(st.Entries) != want || st.Term != uint64(want) {
				t.Fatalf("cut at %d: %d entries, term %d, fresh %t, want %d", n, len(st.Entries), st.Term, st.Fresh, want)
			}
			// The log goes on after the cut.
			e := &wire.ConfigEntry{Index: uint64(want) + 1, Term: 9}
			if err := errors.Join(s.Sync(storer.Batch{Entries: []*wire.ConfigEntry{e}}), s.Close()); err != nil {
				t.Fatal(err)
			}
			if _, st, err = storer.Open(dir, quiet); err != nil || len(st.Entries) != want+1 {
				t.Fatalf("cut at %d, then one more: %v, %d entries", n, err, len(st.Entries))
			}
		}
	}
}

// Guards against damaged bytes that are read as good, and against a damaged disk that keeps its vote. Each bit of each
// file is flipped, those of the last frame included: it was synced, so it may have been acknowledged.
func TestFlippedBits(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	_, id := fill(t, dir)
	s, st, err := storer.Open(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	st.Snapshot = &wire.ConfigSnapshot{Index: 2, Term: 2, Version: 2}
	if err := errors.Join(s.Compact(st), s.Sync(storer.Batch{Commit: 3}), s.Close()); err != nil {
		t.Fatal(err)
	}
	good := map[string][]byte{}
	for _, name := range []string{"identity", "log", "snapshot"} {
		good[name] = read(t, dir, name)
	}
	for name, b := range good {
		for bit := range 8 * len(b) {
			for n, g := range good {
				write(t, dir, n, g)
			}
			bad := bytes.Clone(b)
			bad[bit/8] ^= 1 << (bit % 8)
			write(t, dir, name, bad)
			s, st, err := storer.Open(dir, quiet)
			if err != nil {
				t.Fatal(err)
			}
			_ = s.Close()
			if !st.Fresh || st.Founder || st.DiskID == id || len(st.Entries) > 0 || st.Term > 0 || st.Snapshot != nil {
				t.Fatalf("%s with bit %d flipped was read as %+v", name, bit, st)
			}
			aside, _ := filepath.Glob(filepath.Join(dir, name+".damaged-*"))
			if len(aside) != 1 || !bytes.Equal(read(t, dir, filepath.Base(aside[0])), bad) {
				t.Fatalf("damaged %s was not kept: %v", name, aside)
			}
			all, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*"))
			for _, f := range all {
				_ = os.Remove(f)
			}
		}
	}
}

// Guards against a crash between the snapshot and the log that leaves a folder which cannot be opened.
func TestCrashWithinCompact(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	_, id := fill(t, dir)
	old := read(t, dir, "log")
	s, st, err := storer.Open(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	st.Snapshot = &wire.ConfigSnapshot{Index: 9, Term: 4, Version: 7}
	st.BaseIndex, st.BaseTerm, st.Entries, st.Commit = 9, 4, nil, 9
	if err := errors.Join(s.Compact(st), s.Close()); err != nil {
		t.Fatal(err)
	}
	write(t, dir, "log", old)
	for range 2 {
		s, got, err := storer.Open(dir, quiet)
		if err != nil || got.DiskID != id || got.Commit != 9 || got.BaseIndex != 9 || !proto.Equal(got.Snapshot, st.Snapshot) {
			t.Fatalf("%v, %+v", err, got)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a second identity for the same disk, and against a voter that starts without --initialise as a founder.
func TestInitialiseOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	if _, st, err := storer.Open(dir, quiet); err != nil || !st.Fresh || st.Founder || len(strings.TrimSpace(st.DiskID)) != 32 {
		t.Fatalf("%v, %+v", err, st)
	}
	if err := storer.Initialise(dir); !errors.Is(err, storer.ErrInitialised) {
		t.Fatalf("second identity: %v", err)
	}
}
