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
	connection
	dirs       folders
	author, id string
	remove     []string
	dryRun     bool
}

// published is what publish --json prints.
type published struct {
	ID          string                 `json:"id"`
	BaseVersion uint64                 `json:"baseVersion"`
	Difference  *publisher.Difference  `json:"difference"`
	Answer      *listener.ChangeAnswer `json:"answer,omitempty"`
}

func newPublish() command {
	s := flaggy.NewSubcommand("publish")
	s.Description = "Compares task files with what is in force, shows the difference and puts it into force."
	f := &publishFlags{author: defaultAuthor()}
	f.attach(s)
	f.dirs.attach(s, false)
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
	dirs := f.dirs.given()
	if len(dirs) == 0 && len(f.remove) == 0 {
		return eris.New("give a folder with task files, or --remove SERVICE")
	}
	files, err := publisher.Collect(dirs)
	if err != nil {
		return err
	}
	r, err := f.open()
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
	cur, err := r.Configuration()
	if err != nil {
		return err
	}
	d, err := publisher.Compare(cur.Files, files, f.remove)
	if err != nil {
		return err
	}
	out := published{ID: f.id, BaseVersion: cur.Version, Difference: d}
	if !f.json {
		fmt.Print(d.Render())
	}
	if f.dryRun || len(d.Services) == 0 {
		return f.print(out)
	}
	if !f.json {
		fmt.Println("change id:", f.id)
	}
	answer, err := r.Publish(f.change(cur.Version, d))
	if err != nil {
		return err
	}
	out.Answer = &answer
	if err := f.print(out); err != nil {
		return err
	}
	return f.report(answer)
}

// alreadyInForce looks the id of an earlier call up in the audit trail: its change is then no difference any more.
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
		// An audit trail of another form only costs the short cut: the change is sent again with its id.
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
			return true, f.print(published{ID: f.id, Answer: &a})
		}
		fmt.Printf("change %s is in force since version %d\n", f.id, version)
		return true, nil
	}
	return false, nil
}

func (f *publishFlags) change(base uint64, d *publisher.Difference) listener.ChangeRequest {
	c := listener.ChangeRequest{ID: f.id, BaseVersion: base, Author: f.author}
	for _, s := range d.Services {
		c.Files = append(c.Files, listener.FileChange{
			Service: s.Service, Content: s.Content, Removed: s.Kind == publisher.Removed,
		})
	}
	return c
}

// print writes the JSON form; the other form is printed on the way.
func (f *publishFlags) print(out published) error {
	if !f.json {
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	return e.Encode(out)
}

func (f *publishFlags) report(a listener.ChangeAnswer) error {
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
		return eris.Errorf("unknown: the change may come into force (%s); find out with the same folders and --id %s", a.Detail, f.id)
	}
	return eris.New(strings.TrimSuffix("refused: "+a.Verdict+": "+a.Detail, ": "))
}
