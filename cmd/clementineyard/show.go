package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"clementineyard/internal/printer"
)

func newStatus() command {
	return newGetCommand("status", "Shows the state of an entry VM and what it knows of the others.", "/v1/status")
}

func newAudit() command {
	return newGetCommand("audit", "Shows who changed the configuration, when, and with what result.", "/v1/audit")
}

// newGetCommand returns a command that prints the answer to a GET request of the path.
func newGetCommand(name, description, path string) command {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	c := &operatorFlags{}
	c.register(s)
	return command{s, func() (int, error) {
		if err := c.show(path); err != nil {
			return exitFailure, err
		}
		return 0, nil
	}}
}

// show prints the answer to a GET request of the path, as JSON or as text.
func (c *operatorFlags) show(path string) error {
	r, err := c.newRequester()
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
