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
	settings, dirs := "", folders{}
	s.String(&settings, "s", "settings", "Settings file to check.")
	dirs.attach(s, false)
	return command{s, func() (int, error) {
		if err := runCheck(settings, dirs.given()); err != nil {
			return exitFailure, err
		}
		return 0, nil
	}}
}

func runCheck(settings string, dirs []string) error {
	if settings == "" && len(dirs) == 0 {
		return eris.New("give a folder with task files, or --settings FILE")
	}
	var faults []error
	if settings != "" {
		if _, err := parser.LoadSettings(settings); err != nil {
			faults = append(faults, err)
		} else {
			fmt.Printf("%s: ok\n", settings)
		}
	}
	if len(dirs) > 0 {
		files, err := publisher.Collect(dirs)
		if err != nil {
			faults = append(faults, err)
		}
		for _, f := range files {
			fmt.Printf("service %s: ok, %d tasks\n", f.Service, len(f.Tasks))
		}
	}
	return errors.Join(faults...)
}
