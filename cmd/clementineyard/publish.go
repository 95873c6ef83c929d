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
	"clementineyard/internal/publisher"
	"clementineyard/internal/recorder"
	"clementineyard/internal/requester"
)

// publishFlags holds the flags of the publish command.
type publishFlags struct {
	operatorFlags
	dirs       folderArgs
	author, id string
	remove     []string
	dryRun     bool
}

// publishOutput is the output of publish --json.
type publishOutput struct {
	ID          string                 `json:"id"`
	BaseVersion uint64                 `json:"baseVersion"`
	Difference  *publisher.Difference  `json:"difference"`
	Answer      *listener.ChangeAnswer `json:"answer,omitempty"`
}

func newPublish() command {
	s := flaggy.NewSubcommand("publish")
	s.Description = "Compares task files with the configuration in force, shows the difference and publishes it."
	f := &publishFlags{author: defaultAuthor()}
	f.register(s)
	f.dirs.register(s, false)
	s.String(&f.author, "a", "author", "Author shown in the audit trail.")
	s.String(&f.id, "i", "id", "Change id; give the id of an earlier call whose result was unknown.")
	s.StringSlice(&f.remove, "r", "remove", "Service to remove; can be given several times.")
	s.Bool(&f.dryRun, "n", "dry-run", "Show the difference and change nothing.")
	return command{s, func() (int, error) {
		if err := f.run(); err != nil {
			return exitFailure, err
		}
		return 0, nil
	}}
}

// defaultAuthor returns "user@host", with "unknown" for a part that cannot be determined.
func defaultAuthor() string {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown"
	}
	user := os.Getenv("USER")
	if user == "" {
		user = "unknown"
	}
	return user + "@" + host
}

func (f *publishFlags) run() error {
	dirs := f.dirs.paths()
	if len(dirs) == 0 && len(f.remove) == 0 {
		return eris.New("give a folder with task files, or --remove SERVICE")
	}
	files, err := publisher.Collect(dirs)
	if err != nil {
		return err
	}
	r, err := f.newRequester()
	if err != nil {
		return err
	}
	if f.id != "" {
		if done, err := f.alreadyInForce(r); done || err != nil {
			return err
		}
	} else {
		f.id = recorder.NewKey("change", time.Now()).String()
	}
	current, err := r.Configuration()
	if err != nil {
		return err
	}
	difference, err := publisher.Compare(current.Files, files, f.remove)
	if err != nil {
		return err
	}
	out := publishOutput{ID: f.id, BaseVersion: current.Version, Difference: difference}
	if !f.json {
		fmt.Print(difference.Render())
	}
	if f.dryRun || len(difference.Services) == 0 {
		return f.printJSON(out)
	}
	if !f.json {
		fmt.Println("change id:", f.id)
	}
	answer, err := r.Publish(f.changeRequest(current.Version, difference))
	if err != nil {
		return err
	}
	out.Answer = &answer
	if err := f.printJSON(out); err != nil {
		return err
	}
	return f.reportVerdict(answer)
}

// alreadyInForce looks up the id of an earlier call in the audit trail and reports whether its change was accepted. The
// comparison cannot tell, because an accepted change no longer makes a difference.
func (f *publishFlags) alreadyInForce(r *requester.Requester) (bool, error) {
	b, err := r.Get("/v1/audit")
	if err != nil {
		return false, err
	}
	var trail []struct {
		ID        string  `json:"id"`
		Outcome   string  `json:"outcome"`
		ToVersion *uint64 `json:"toVersion"`
	}
	if err := json.Unmarshal(b, &trail); err != nil {
		// An audit trail in another format only disables this shortcut: the change is sent again with its id.
		return false, nil
	}
	for _, e := range trail {
		if e.ID != f.id || (e.Outcome != "" && e.Outcome != requester.VerdictAccepted) {
			continue
		}
		version := uint64(0)
		if e.ToVersion != nil {
			version = *e.ToVersion
		}
		if f.json {
			a := listener.ChangeAnswer{Verdict: requester.VerdictAccepted, Version: version}
			return true, f.printJSON(publishOutput{ID: f.id, Answer: &a})
		}
		fmt.Printf("change %s is in force since version %d\n", f.id, version)
		return true, nil
	}
	return false, nil
}

// changeRequest returns the request that makes the difference, based on version base.
func (f *publishFlags) changeRequest(base uint64, d *publisher.Difference) listener.ChangeRequest {
	c := listener.ChangeRequest{ID: f.id, BaseVersion: base, Author: f.author}
	for _, s := range d.Services {
		c.Files = append(c.Files, listener.FileChange{
			Service: s.Service, Content: s.Content, Removed: s.Kind == publisher.Removed,
		})
	}
	return c
}

// printJSON prints the output with --json. Without it, run prints text as it goes along.
func (f *publishFlags) printJSON(out publishOutput) error {
	if !f.json {
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	return e.Encode(out)
}

// reportVerdict prints an accepted change and returns an error for any other verdict.
func (f *publishFlags) reportVerdict(a listener.ChangeAnswer) error {
	switch a.Verdict {
	case requester.VerdictAccepted:
		if !f.json {
			fmt.Printf("accepted: version %d\n", a.Version)
		}
		return nil
	case requester.VerdictConflict:
		winner := a.WinnerVersion
		if winner == 0 {
			winner = a.Version
		}
		return eris.Errorf("conflict: version %d by %q (change id %q) came first; nothing was changed, compare and publish again",
			winner, a.WinnerAuthor, a.WinnerID)
	case requester.VerdictUnknown:
		return eris.Errorf("unknown: the change may come into force (%s); to find out, publish the same folders with --id %s", a.Detail, f.id)
	}
	return eris.New(strings.TrimSuffix("refused: "+a.Verdict+": "+a.Detail, ": "))
}
