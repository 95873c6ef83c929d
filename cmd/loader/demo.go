package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/cmd/loader/internal/stager"
)

const demoServers = 12

// runDemo starts a deployment, publishes the example's task files and runs a job while one entry process is killed.
func runDemo(example string) error {
	s, err := stager.New(stager.Config{
		Domains: []launcher.Domain{{Name: "casa-a", VMs: 2}, {Name: "rabat-b", VMs: 2}, {Name: "tanger-c", VMs: 2}},
		Servers: demoServers, Services: []string{"inscription"}, Slots: 8,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	if err := publish(s.Deployment, example); err != nil {
		return err
	}
	time.Sleep(time.Second)
	ans, err := submitJob(s.Deployment)
	if err != nil {
		return err
	}
	fmt.Println(string(ans))
	fmt.Printf("starts seen by the servers: %d\n", len(s.Journal.Starts()))
	return nil
}

func publish(d *launcher.Deployment, example string) error {
	cmd := exec.Command("bin/clementineyard", "publish", "--entry", d.VMs[0].Settings.Listen.Operators,
		"--token", filepath.Join(d.Folder, d.VMs[0].Name, "token"), filepath.Join(example, "tasks"))
	out, err := cmd.CombinedOutput()
	fmt.Print(string(out))
	if err != nil {
		return eris.Wrap(err, "publish")
	}
	return nil
}

func submitJob(d *launcher.Deployment) ([]byte, error) {
	base := "http://" + d.VMs[1].Settings.Listen.Callers
	resp, err := http.Post(base+"/v1/keys", "application/json", nil)
	if err != nil {
		return nil, err
	}
	var key struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&key); err != nil {
		return nil, err
	}
	_ = resp.Body.Close()
	type task struct {
		ID      string       `json:"id"`
		Task    string       `json:"task"`
		Payload replier.Work `json:"payload"`
	}
	var tasks []task
	for i := range 10 {
		tasks = append(tasks, task{ID: fmt.Sprint(i), Task: "assignNumber", Payload: replier.Work{RunMilliseconds: 100}})
	}
	b, err := json.Marshal(map[string]any{"key": key.Key, "team": "clubs", "service": "inscription", "tasks": tasks})
	if err != nil {
		return nil, err
	}
	resp, err = http.Post(base+"/v1/jobs", "application/json", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out bytes.Buffer
	_, err = out.ReadFrom(resp.Body)
	return out.Bytes(), err
}
