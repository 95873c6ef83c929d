// Command entry is the daemon that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"clementineyard/internal/parser"
	"clementineyard/internal/runner"
)

func main() {
	settings, initialise := "", false
	flaggy.SetName("clementineyard-entry")
	flaggy.SetDescription("Dispatches short tasks between callers and backend servers.")
	flaggy.String(&settings, "s", "settings", "Path of the settings file (JSON with comments).")
	flaggy.Bool(&initialise, "", "initialise", "Create this voter's first identity in its data folder and exit.")
	flaggy.Parse()
	if err := run(settings, initialise); err != nil {
		fmt.Fprintln(os.Stderr, "clementineyard-entry:", err)
		os.Exit(1)
	}
}

func run(path string, initialise bool) error {
	set, err := parser.LoadSettings(path)
	if err != nil {
		return err
	}
	if initialise {
		return runner.Initialise(path, set)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	r, err := runner.New(runner.Config{SettingsFile: path, Settings: set, Log: newLogger(set.Log)})
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

func newLogger(l parser.Log) *slog.Logger {
	level := slog.LevelInfo
	// The parser has checked the level; an empty one stays at info.
	_ = level.UnmarshalText([]byte(l.Level))
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}
