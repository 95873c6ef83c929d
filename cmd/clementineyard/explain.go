package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"clementineyard/internal/printer"
)

func newExplain() command {
	s := flaggy.NewSubcommand("explain")
	s.Description = "Shows what would become of a job if it were submitted now, and why, without submitting it."
	c, file := &operatorFlags{}, ""
	c.register(s)
	s.AddPositionalValue(&file, "FILE", 1, false, "Job as JSON, see docs/callers.md, whose key may be absent; standard input when absent.")
	return command{s, func() (int, error) {
		if err := c.explain(file); err != nil {
			return exitFailure, err
		}
		return 0, nil
	}}
}

// explain prints the explanation of the job in the file, as JSON or as text.
func (c *operatorFlags) explain(file string) error {
	r, err := c.newRequester()
	if err != nil {
		return err
	}
	job, err := (&submitFlags{file: file}).readJob()
	if err != nil {
		return err
	}
	b, err := r.Explain(job)
	if err != nil {
		return err
	}
	if c.json {
		_, err = fmt.Println(string(b))
		return err
	}
	return printer.Print(os.Stdout, b)
}
