package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
)

const demoServersPerDomain = 4

// runDemo starts a deployment, publishes the example's task files and runs a job while one entry process is killed.
func runDemo(example string) error {
	folder, err := os.MkdirTemp("", "clementineyard-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d, err := launcher.New(launcher.Config{
		Folder: folder, Binary: "bin/clementineyard-entry",
		Domains: []launcher.Domain{{Name: "casa-a", VMs: 2}, {Name: "rabat-b", VMs: 2}, {Name: "tanger-c", VMs: 2}},
	})
	if err != nil {
		return err
	}
	if err := d.StartAll(); err != nil {
		return err
	}
	defer d.KillAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	j := &replier.Journal{}
	startServers(ctx, d, j)
	if err := publish(d, example); err != nil {
		return err
	}
	time.Sleep(time.Second)
	ans, err := submitJob(d)
	if err != nil {
		return err
	}
	fmt.Println(string(ans))
	fmt.Printf("starts seen by the servers: %d\n", len(j.Starts()))
	return nil
}

func startServers(ctx context.Context, d *launcher.Deployment, j *replier.Journal) {
	port := 0
	for _, v := range d.VMs {
		if v.Name[len(v.Name)-1] != '1' {
			continue
		}
		var entries []string
		for _, o := range d.VMs {
			if o.FailureDomain == v.FailureDomain {
				entries = append(entries, o.Settings.Listen.Servers)
			}
		}
		for i := range demoServersPerDomain {
			s := replier.New(replier.Config{
				Name: fmt.Sprintf("%s-server-%d", v.FailureDomain, i), Address: fmt.Sprintf("127.0.0.1:%d", 31000+port),
				FailureDomain: v.FailureDomain, Services: []string{"inscription"}, Slots: 8, Connections: 64, EntryVMs: entries,
			}, j)
			port++
			go func() { _ = s.Run(ctx) }()
		}
	}
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
