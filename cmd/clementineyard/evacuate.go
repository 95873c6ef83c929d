package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"clementineyard/internal/listener"
	"clementineyard/internal/recorder"
	"clementineyard/internal/requester"
)

// evacuateFlags holds the flags of the evacuate command.
type evacuateFlags struct {
	operatorFlags
	failureDomain, author string
	end                   bool
}

func newEvacuate() command {
	s := flaggy.NewSubcommand("evacuate")
	s.Description = "Stops starts on the servers and workers of a failure domain until the evacuation is ended."
	f := &evacuateFlags{author: defaultAuthor()}
	f.register(s)
	s.AddPositionalValue(&f.failureDomain, "DOMAIN", 1, true, "Failure domain.")
	s.String(&f.author, "a", "author", "Author shown in the audit trail.")
	s.Bool(&f.end, "x", "end", "End the evacuation.")
	return command{s, func() (int, error) {
		if err := f.run(); err != nil {
			return exitFailure, err
		}
		return 0, nil
	}}
}

func (f *evacuateFlags) run() error {
	r, err := f.newRequester()
	if err != nil {
		return err
	}
	newID := func() string { return recorder.NewKey("evacuation", time.Now()).String() }
	answer, err := r.Evacuate(f.failureDomain, !f.end, f.author, newID)
	if err != nil {
		return err
	}
	if f.json {
		if err := json.NewEncoder(os.Stdout).Encode(answer); err != nil {
			return eris.Wrap(err, "print answer")
		}
	}
	return f.report(answer)
}

// report prints an accepted order and returns an error for any other verdict.
func (f *evacuateFlags) report(a listener.ChangeAnswer) error {
	switch a.Verdict {
	case requester.VerdictAccepted:
		state := "evacuated"
		if f.end {
			state = "not evacuated"
		}
		if !f.json {
			fmt.Printf("accepted: %s is %s since version %d\n", f.failureDomain, state, a.Version)
		}
		return nil
	case requester.VerdictUnknown:
		return eris.Errorf("unknown: the order may come into force (%s); give it again", a.Detail)
	}
	return eris.New(strings.TrimSuffix("refused: "+a.Verdict+": "+a.Detail, ": "))
}
