package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"clementineyard/internal/printer"
)

func newStatus() command {
	return newShow("status", "Shows an entry VM and what it knows of the others.", "/v1/status")
}

func newAudit() command {
	return newShow("audit", "Shows who changed the configuration, when, and with what result.", "/v1/audit")
}

// newShow returns a command that prints the answer to one GET.
func newShow(name, description, path string) command {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	c := &connection{}
	c.attach(s)
	return command{s, func() (int, error) {
		if err := c.show(path); err != nil {
			return exitFailure, err
		}
		return 0, nil
	}}
}

func (c *connection) show(path string) error {
	r, err := c.open()
	if err != nil {
		return err
	}
	b, err := r.Get(path)
	if err != nil {
		return err
	}
	if c.json {
		_, err = fmt.Println(string(b))
		return err
	}
	return printer.Print(os.Stdout, b)
}
