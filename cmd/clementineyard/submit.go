package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"clementineyard/internal/listener"
	"clementineyard/internal/printer"
	"clementineyard/internal/requester"
)

// submitFlags holds the flags of the submit command.
type submitFlags struct {
	entry, key, file string
	json             bool
}

func newSubmit() command {
	s := flaggy.NewSubcommand("submit")
	s.Description = "Submits a job and prints its answer. Exit code: 0 complete, 1 failed, 2 not run, 3 unknown."
	f := &submitFlags{}
	s.String(&f.entry, "e", "entry", "IP:port of an entry VM's callers' listener.")
	s.String(&f.key, "k", "key", "Submission key; give the key of an earlier call to submit the job again. A new key is made when absent.")
	s.Bool(&f.json, "j", "json", "Print JSON: one line with the key, then one with the answer.")
	s.AddPositionalValue(&f.file, "FILE", 1, false, "Job as JSON, see docs/callers.md; standard input when absent.")
	return command{s, func() (int, error) {
		result, err := f.run()
		return int(result), err
	}}
}

func (f *submitFlags) run() (requester.Result, error) {
	if f.entry == "" {
		return requester.NotRun, eris.New("--entry must be given")
	}
	job, err := f.readJob()
	if err != nil {
		return requester.NotRun, err
	}
	r := requester.New(requester.Config{Address: f.entry, Sleep: time.Sleep})
	if f.key != "" {
		job.Key = f.key
	}
	newKey := job.Key == ""
	if newKey {
		if job.Key, err = r.Key(); err != nil {
			return requester.NotRun, err
		}
	}
	if err := f.printKey(job.Key); err != nil {
		return requester.NotRun, err
	}
	result, answer, err := r.Submit(job, newKey)
	if err != nil {
		return result, err
	}
	if f.json {
		_, err = fmt.Println(string(answer))
		return result, err
	}
	return result, printer.Print(os.Stdout, answer)
}

// readJob reads the job from the file or, without one, from standard input.
func (f *submitFlags) readJob() (*listener.Job, error) {
	in := os.Stdin
	if f.file != "" {
		var err error
		if in, err = os.Open(f.file); err != nil {
			return nil, eris.Wrap(err, "open job file")
		}
		defer func() { _ = in.Close() }()
	}
	b, err := io.ReadAll(in)
	if err != nil {
		return nil, eris.Wrap(err, "read job")
	}
	return requester.ReadJob(b)
}

// printKey prints the submission key. It is called before the job is sent, so that the user knows the key even if the
// submission is interrupted.
func (f *submitFlags) printKey(key string) error {
	if !f.json {
		_, err := fmt.Println("submission key:", key)
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(map[string]string{"key": key})
}
