package storer_test

import (
	"bytes"
	"fmt"
	"testing"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// BenchmarkSync makes one entry durable, including the fsync of the machine's disk.
func BenchmarkSync(b *testing.B) {
	for _, size := range []int{1 << 10, 10 << 10, 100 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s, _, err := storer.Open(b.TempDir(), quiet)
			if err != nil {
				b.Fatal(err)
			}
			content := bytes.Repeat([]byte("x"), size)
			index := uint64(0)
			for b.Loop() {
				index++
				e := &wire.ConfigEntry{Index: index, Term: 1, Change: &wire.Change{Files: []*wire.ServiceFile{{Content: content}}}}
				if err := s.Sync(storer.Batch{Entries: []*wire.ConfigEntry{e}, CommitIndex: index - 1}); err != nil {
					b.Fatal(err)
				}
			}
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
