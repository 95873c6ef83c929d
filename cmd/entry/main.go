// Command entry is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"clementineyard/internal/parser"
	"clementineyard/internal/runner"
)

func main() {
	settings, initialise := "", false
	flaggy.SetName("clementineyard-entry")
	flaggy.SetDescription("Dispatches requests and jobs of callers to backend servers and workers.")
	flaggy.String(&settings, "s", "settings", "Path of the settings file (JSON with comments).")
	flaggy.Bool(&initialise, "", "initialise", "Create this voter's first identity in its data folder and exit.")
	flaggy.Parse()
	if err := run(settings, initialise); err != nil {
		fmt.Fprintln(os.Stderr, "clementineyard-entry:", err)
		os.Exit(1)
	}
}

// run runs the daemon with the settings file at path until SIGTERM or SIGINT, or creates the voter's identity.
func run(path string, initialise bool) error {
	settings, err := parser.LoadSettings(path)
	if err != nil {
		return err
	}
	if initialise {
		return runner.Initialise(path, settings)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	r, err := runner.New(runner.Config{SettingsFile: path, Settings: settings, Log: newLogger(settings.Log)})
	if err != nil {
		return err
	}
	// An operator's own limit goes first.
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(r.MemoryLimit())
	}
	return r.Run(ctx)
}

// newLogger returns the logger of the process log, which goes to standard error.
func newLogger(l parser.Log) *slog.Logger {
	level := slog.LevelInfo
	// The parser has validated the level. UnmarshalText fails only for an empty one, which leaves the default, info.
	_ = level.UnmarshalText([]byte(l.Level))
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}
