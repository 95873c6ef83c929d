// Command node is the daemon that runs on each VM of the users' platform.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"clementineyard/internal/logger"
	"clementineyard/platform"
)

func main() {
	log, out := logger.New(os.Stdout, slog.LevelInfo)
	err := run(log)
	if err != nil {
		log.Error("Process failed.", "error", err.Error())
	}
	out.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "clementineyard-node:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT starts a planned stop. SIGHUP makes the daemon read its settings again.
func run(log *slog.Logger) error {
	settingsPath, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings(settingsPath)
	if err != nil {
		return err
	}
	log = log.With("vm", settings.Name)
	if settings.Memory > 0 {
		// The collector works harder where a large configuration is being changed. The rest is for what the limit does not
		// count: the program itself and what the kernel holds for its sockets.
		debug.SetMemoryLimit(settings.Memory / 3 * 2)
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	d, err := newDaemon(settingsPath, settings, log)
	if err != nil {
		return err
	}
	return d.run(stop, reload)
}
