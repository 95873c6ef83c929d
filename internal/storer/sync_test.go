package storer

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

// TestOpenSyncsWhatItReads guards against a voter that counts as durable what a killed process had not synced.
func TestOpenSyncsWhatItReads(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "voter")
	if err := createIdentity(dir, true); err != nil {
		t.Fatal(err)
	}
	synced := map[string]bool{}
	s, _, err := open(dir, slog.New(slog.NewTextHandler(io.Discard, nil)), func(f *os.File) error {
		synced[f.Name()] = true
		return f.Sync()
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{dir, filepath.Join(dir, logFile)} {
		if !synced[name] {
			t.Errorf("%s was not synced before its content was used", name)
		}
	}
}
