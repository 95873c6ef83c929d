// Command clementineyard is the operators' command.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
)

func main() {
	flaggy.SetName("clementineyard")
	flaggy.SetDescription("Checks and publishes task files and shows the state of the system.")
	publish := flaggy.NewSubcommand("publish")
	publish.Description = "Collects the task files of folders and hands them to the system."
	entry, token, dir := "", "", ""
	publish.String(&entry, "e", "entry", "Address (IP:port) of an entry VM's operators' listener.")
	publish.String(&token, "t", "token", "File with the operators' token.")
	publish.AddPositionalValue(&dir, "dir", 1, true, "Folder with task files.")
	flaggy.AttachSubcommand(publish, 1)
	flaggy.Parse()
	var err error
	switch {
	case publish.Used:
		err = runPublish(entry, token, dir)
	default:
		flaggy.ShowHelpAndExit("name a subcommand")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "clementineyard:", err)
		os.Exit(1)
	}
}

func runPublish(entry, tokenFile, dir string) error {
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return err
	}
	var cur listener.ConfigurationAnswer
	if err := call(entry, string(token), http.MethodGet, "/v1/configuration", nil, &cur); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return err
	}
	req := listener.ChangeRequest{ID: recorder.NewKey("change", time.Now()).String(), BaseVersion: cur.Version, Author: os.Getenv("USER") + "@cli"}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		tf, err := parser.ParseTaskFile(f, b)
		if err != nil {
			return err
		}
		std, err := hujson.Minimize(b)
		if err != nil {
			return err
		}
		req.Files = append(req.Files, listener.FileChange{Service: tf.Service, Content: std})
	}
	var ans listener.ChangeAnswer
	if err := call(entry, string(token), http.MethodPost, "/v1/changes", req, &ans); err != nil {
		return err
	}
	fmt.Printf("%s: version %d\n", ans.Verdict, ans.Version)
	return nil
}

func call(entry, token, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+entry+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(token))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return eris.Errorf("%s: %s", resp.Status, b)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
