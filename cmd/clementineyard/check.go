package main

import (
	"errors"
	"fmt"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"clementineyard/internal/parser"
	"clementineyard/internal/publisher"
)

func newCheck() command {
	s := flaggy.NewSubcommand("check")
	s.Description = "Checks task files, and a settings file, without a running system."
	settings, dirs := "", folderArgs{}
	s.String(&settings, "s", "settings", "Settings file to check.")
	dirs.register(s, false)
	return command{s, func() (int, error) {
		if err := runCheck(settings, dirs.paths()); err != nil {
			return exitFailure, err
		}
		return 0, nil
	}}
}

// runCheck checks the settings file, unless its path is empty, and the task files in the folders. The error joins the
// errors of both.
func runCheck(settings string, dirs []string) error {
	if settings == "" && len(dirs) == 0 {
		return eris.New("give a folder with task files, or --settings FILE")
	}
	var errs []error
	if settings != "" {
		if _, err := parser.LoadSettings(settings); err != nil {
			errs = append(errs, err)
		} else {
			fmt.Printf("%s: ok\n", settings)
		}
	}
	if len(dirs) > 0 {
		files, err := publisher.Collect(dirs)
		if err != nil {
			errs = append(errs, err)
		}
		for _, f := range files {
			fmt.Printf("service %s: ok, %d tasks\n", f.Service, len(f.Tasks))
		}
	}
	return errors.Join(errs...)
}
