package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/cmd/loader/internal/stager"
	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
)

const (
	demoServers         = 12
	demoVMsPerDomain    = 2
	demoTasks           = 40
	demoRunMilliseconds = 200
	demoRequests        = 60
	requestInterval     = 25 * time.Millisecond
	killDelay           = 300 * time.Millisecond
	publishTimeout      = 15 * time.Second
	maxSends            = 20
	resendDelay         = 200 * time.Millisecond
)

// example holds what the demo uses from the settings and task files of an example.
type example struct {
	folder         string
	failureDomains []string
	service, team  string
	// nonIdempotentTask and idempotentTask are the names of tasks of the service.
	nonIdempotentTask, idempotentTask string
}

// loadExample reads the first settings file of the example and all its task files.
func loadExample(folder string) (*example, error) {
	e := &example{folder: folder}
	settings, err := filepath.Glob(filepath.Join(folder, "settings", "*.json"))
	if err != nil || len(settings) == 0 {
		return nil, eris.Errorf("load example: no settings below %s", folder)
	}
	set, err := parser.LoadSettings(settings[0])
	if err != nil {
		return nil, err
	}
	for _, g := range set.Groups {
		e.failureDomains = append(e.failureDomains, g.FailureDomain)
	}
	files, err := filepath.Glob(filepath.Join(folder, "tasks", "*.json"))
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		if err := e.addTaskFile(f); err != nil {
			return nil, err
		}
	}
	if e.nonIdempotentTask == "" || e.idempotentTask == "" {
		return nil, eris.Errorf("load example: %s has no service with a non-idempotent and an idempotent task", folder)
	}
	return e, nil
}

// addTaskFile takes the service, a caller and the tasks from a task file, unless its tasks run on workers.
func (e *example) addTaskFile(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	f, err := parser.ParseTaskFile(file, b)
	if err != nil || f.RunsOn == parser.RunsOnWorkers {
		return err
	}
	e.service, e.team = f.Service, f.AllowedTeams[0]
	for _, t := range f.Tasks {
		switch {
		case t.NonIdempotent && e.nonIdempotentTask == "":
			e.nonIdempotentTask = t.Name
		case !t.NonIdempotent && e.idempotentTask == "":
			e.idempotentTask = t.Name
		}
	}
	return nil
}

// demo is an example on a running deployment, with the results so far.
type demo struct {
	*example
	*stager.Stage
	mu         sync.Mutex
	answered   int
	resent     int
	violations []string
}

// runDemo starts a deployment, publishes the example's task files, submits a job and single requests, and kills the
// entry process that received the job. It returns an error when a guarantee was violated.
func runDemo(folder string) error {
	e, err := loadExample(folder)
	if err != nil {
		return err
	}
	var domains []launcher.Domain
	for _, n := range e.failureDomains {
		domains = append(domains, launcher.Domain{Name: n, VMs: demoVMsPerDomain})
	}
	s, err := stager.New(stager.Config{Domains: domains, Servers: demoServers, Services: []string{e.service}, Slots: 8})
	if err != nil {
		return err
	}
	defer s.Close()
	d := &demo{example: e, Stage: s}
	if err := d.publish(); err != nil {
		return err
	}
	nonOwner := d.nonOwner()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		d.sendRequests()
	}()
	time.AfterFunc(killDelay, nonOwner.Kill)
	answer := d.submitJob(nonOwner)
	wg.Wait()
	return d.printSummary(nonOwner, answer)
}

// publish publishes the example's task files and waits until they are in force on every entry VM.
func (d *demo) publish() error {
	cmd := exec.Command("bin/clementineyard", "publish", "--entry", d.VMs[0].Settings.Listen.Operators,
		"--token", filepath.Join(d.Folder, d.VMs[0].Name, "token"), "--author", "demo", filepath.Join(d.folder, "tasks"))
	out, err := cmd.CombinedOutput()
	fmt.Print(string(out))
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	for deadline := time.Now().Add(publishTimeout); time.Now().Before(deadline); time.Sleep(requestInterval) {
		inForce := 0
		for _, v := range d.VMs {
			if d.Configuration(v).Version > 0 {
				inForce++
			}
		}
		if inForce == len(d.VMs) {
			return nil
		}
	}
	return eris.Errorf("publish: task files not in force on every entry process after %s", publishTimeout)
}

// nonOwner returns the entry VM of the first failure domain that is not the owner, and so forwards the job to it.
func (d *demo) nonOwner() *launcher.VM {
	var status struct {
		Owner string `json:"owner"`
	}
	_, _ = d.CallOperators(d.VMs[0], http.MethodGet, "/v1/status", nil, &status)
	if d.VMs[0].Name == status.Owner {
		return d.VMs[1]
	}
	return d.VMs[0]
}

// submitJob submits one job to the entry VM that is killed, and resubmits it through all entry VMs until it is
// answered.
func (d *demo) submitJob(first *launcher.VM) listener.JobAnswer {
	in := listener.Job{
		Key: recorder.NewKey(first.FailureDomain, time.Now()).String(), Team: d.team, Service: d.service,
	}
	for i := range demoTasks {
		b, _ := json.Marshal(replier.Work{RunMilliseconds: demoRunMilliseconds})
		in.Tasks = append(in.Tasks, listener.JobTask{ID: fmt.Sprintf("t%d", i), Task: d.nonIdempotentTask, Payload: b})
	}
	var out listener.JobAnswer
	for i := range maxSends {
		vm := first
		if i > 0 {
			vm = d.VMs[i%len(d.VMs)]
			d.increment(&d.resent)
			time.Sleep(resendDelay)
		}
		if err := postJSON("http://"+vm.Settings.Listen.Callers+"/v1/jobs", in, &out); err == nil && out.Outcome == "answered" {
			break
		}
	}
	if out.State != "complete" || len(out.Tasks) != demoTasks {
		d.recordViolation("the job has state %q with %d of %d tasks (%s)", out.State, len(out.Tasks), demoTasks, out.Reason)
	}
	for _, t := range in.Tasks {
		if n := d.startCount(in.Key, t.ID); n != 1 {
			d.recordViolation("task %s started %d times", t.ID, n)
		}
	}
	return out
}

// sendRequests sends single requests through all entry VMs in turn, and returns when all have ended.
func (d *demo) sendRequests() {
	var wg sync.WaitGroup
	for i := range demoRequests {
		time.Sleep(requestInterval)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.sendRequest(i)
		}()
	}
	wg.Wait()
}

// sendRequest sends one request until it is answered, each time through the next entry VM.
func (d *demo) sendRequest(i int) {
	task, key := d.idempotentTask, ""
	if i%2 == 0 {
		task, key = d.nonIdempotentTask, recorder.NewKey(d.failureDomains[i%len(d.failureDomains)], time.Now()).String()
	}
	for n := range maxSends {
		vm := d.VMs[(i+n)%len(d.VMs)]
		req, err := http.NewRequest(http.MethodPost, "http://"+vm.Settings.Listen.Callers+"/v1/requests/"+d.service+"/"+task,
			strings.NewReader(`{"runMilliseconds":60}`))
		if err != nil {
			d.recordViolation("request %d: %v", i, err)
			return
		}
		req.Header.Set(listener.HeaderTeam, d.team)
		if key != "" {
			req.Header.Set(listener.HeaderKey, key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			d.increment(&d.resent)
			continue
		}
		_ = resp.Body.Close()
		if resp.Header.Get(listener.HeaderOutcome) == "answered" {
			d.increment(&d.answered)
			return
		}
		time.Sleep(resendDelay)
	}
	d.recordViolation("request %d got no answer", i)
}

// printSummary prints the job's answer and a summary in one line. It returns an error that lists the violations, if
// any.
func (d *demo) printSummary(killed *launcher.VM, answer listener.JobAnswer) error {
	b, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	twice := d.Journal.StartedTwice()
	if twice > 0 {
		d.recordViolation("%d tasks started twice", twice)
	}
	fmt.Printf("%s: job %s with %d tasks, %d of %d requests answered, %d resent after %s was killed, %d started twice, %d guarantees violated\n",
		d.folder, answer.State, len(answer.Tasks), d.answered, demoRequests, d.resent, killed.Name, twice, len(d.violations))
	if len(d.violations) > 0 {
		return eris.New(strings.Join(d.violations, "; "))
	}
	return nil
}

// startCount returns how often the stand-in servers started a task of a job.
func (d *demo) startCount(key, task string) int {
	n := 0
	for _, s := range d.Journal.Starts() {
		if s.Key == key && s.TaskID == task {
			n++
		}
	}
	return n
}

func (d *demo) increment(n *int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*n++
}

func (d *demo) recordViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func postJSON(url string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}
