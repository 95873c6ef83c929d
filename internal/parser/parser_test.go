package parser_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clementineyard/internal/parser"
)

// validSettings describes three entry VMs; each case of TestInvalidSettings replaces a part of it.
const validSettings = `{
  "name": "casa-a-1", "failureDomain": "casa-a", // line 2
  "dataFolder": "data",
  "listen": {
    "callers": "127.0.0.1:7001",
    "servers": "127.0.0.1:7002",
    "operators": "127.0.0.1:7003",
    "peers": "127.0.0.1:7004",
  },
  "entryVMs": [
    {"name": "casa-a-1", "failureDomain": "casa-a", "peers": "127.0.0.1:7004"},
    {"name": "casa-a-2", "failureDomain": "casa-a", "peers": "127.0.0.1:7014"},
    {"name": "rabat-b-1", "failureDomain": "rabat-b", "peers": "127.0.0.1:7024"},
  ],
  "groups": [
    {"failureDomain": "casa-a", "members": ["casa-a-1", "casa-a-2", "rabat-b-1"]},
    {"failureDomain": "rabat-b", "members": ["rabat-b-1", "casa-a-1", "casa-a-2"]},
  ],
  "voters": ["casa-a-1"],
  "peerTokenFile": "peer-token",
  "operatorTokenFile": "operator-token",
  "timing": {"ownerLease": "900ms"},
  "limits": {"tasksPerJob": 1200},
  "log": {"level": "info"},
}
`

// An invalid settings file must be refused with the line and field of its error, before a daemon starts with it.
func TestInvalidSettings(t *testing.T) {
	if _, err := parser.ParseSettings("s.json", []byte(validSettings)); err != nil {
		t.Fatalf("the settings that all cases start from are refused: %v", err)
	}
	for _, c := range []struct{ old, replacement, want string }{
		{`"dataFolder"`, `"dataFolders"`, `s.json:3: dataFolders: unknown field`},
		{`"data",`, `7,`, `s.json:3: dataFolder: want a string, got 7`},
		{`"data",`, `null,`, `s.json:3: dataFolder: want a string, got null`},
		{`"data",`, `"",`, `s.json:3: dataFolder: must be given: "casa-a-1" is a voter`},
		{`"data",`, `"data" x`, `s.json:3: column 24: invalid character`},
		{`"data",`, `"data", "dataFolder": "other",`, `s.json:3: dataFolder: is given twice`},
		{`"name": "casa-a-1", "f`, `"name": "casa-a-9", "f`, `s.json:2: name: "casa-a-9" is not among entryVMs`},
		{`"name": "casa-a-1", "f`, `"f`, `s.json:1: name: must be given`},
		{`"casa-a", //`, `"tanger-c", //`, `s.json:2: failureDomain: "tanger-c" is unknown`},
		{`"casa-a", //`, `"rabat-b", //`, `s.json:2: failureDomain: "rabat-b" differs from "casa-a" in entryVMs[0]`},
		{`"failureDomain": "casa-a", //`, `//`, `s.json:1: failureDomain: must be given`},
		{`"casa-a", //`, `"casa.a", //`, `s.json:2: failureDomain: "casa.a" must be 1 to 64 letters`},
		{`127.0.0.1:7001`, `localhost:7001`, `s.json:5: listen.callers: want IP:port`},
		{`127.0.0.1:7001`, `127.0.0.1:0`, `s.json:5: listen.callers: want IP:port`},
		{`127.0.0.1:7001`, `[::1]:7001`, `s.json:5: listen.callers: want IP:port`},
		{`127.0.0.1:7002`, `127.0.0.1:7001`, `s.json:6: listen.servers: 127.0.0.1:7001 clashes with listen.callers`},
		{`127.0.0.1:7002`, `0.0.0.0:7001`, `s.json:6: listen.servers: 0.0.0.0:7001 clashes with listen.callers`},
		{`127.0.0.1:7002`, `127.0.0.1:7014`, `s.json:6: listen.servers: 127.0.0.1:7014 clashes with entryVMs[1].peers`},
		{`127.0.0.1:7014`, `127.0.0.1:7024`, `s.json:13: entryVMs[2].peers: 127.0.0.1:7024 clashes with entryVMs[1].peers`},
		{`127.0.0.1:7014`, `0.0.0.0:7014`, `s.json:12: entryVMs[1].peers: 0.0.0.0:7014 cannot be reached`},
		{`"operators": "127.0.0.1:7003",`, ``, `s.json:4: listen.operators: want IP:port`},
		{`"name": "casa-a-2"`, `"name": "casa-a-1"`, `s.json:12: entryVMs[1].name: "casa-a-1" is listed twice`},
		{`    {"failureDomain": "rabat-b", "members"`, `    //`, `s.json:15: groups: failure domain "rabat-b" has no group`},
		{`["rabat-b-1", "casa-a-1", "casa-a-2"]`, `["rabat-b-1", "casa-a-1"]`, `s.json:17: groups[1].members: want at least 3 members, got 2`},
		{`["rabat-b-1", "casa-a-1"`, `["rabat-b-9", "casa-a-1"`, `s.json:17: groups[1].members[0]: "rabat-b-9" is not among entryVMs`},
		{`["rabat-b-1", "casa-a-1"`, `["rabat-b-1", "rabat-b-1"`, `s.json:17: groups[1].members[1]: "rabat-b-1" is listed twice`},
		{`{"failureDomain": "rabat-b", "members"`, `{"failureDomain": "bunbury", "members"`, `s.json:17: groups[1].failureDomain: "bunbury" is unknown`},
		{`"voters": ["casa-a-1"]`, `"voters": ["casa-a-1", "casa-a-2"]`, `s.json:19: voters: want an odd number of voters, got 2`},
		{`"voters": ["casa-a-1"]`, `"voters": ["casa-a-9"]`, `s.json:19: voters[0]: "casa-a-9" is not among entryVMs`},
		{`"voters": ["casa-a-1"],`, ``, `s.json:1: voters: want an odd number of voters, got 0`},
		{`"peerTokenFile": "peer-token",`, ``, `s.json:1: peerTokenFile: must be given`},
		{`"900ms"`, `900`, `s.json:22: timing.ownerLease: want a duration with its unit`},
		{`"900ms"`, `"900"`, `s.json:22: timing.ownerLease: want a duration with its unit`},
		{`"900ms"`, `"-1s"`, `s.json:22: timing.ownerLease: must not be negative`},
		{`"900ms"`, `"100ms"`, `s.json:22: timing.renewEvery: 150ms must be shorter than ownerLease, 100ms`},
		{`1200`, `-1`, `s.json:23: limits.tasksPerJob: must not be negative`},
		{`1200`, `1.5`, `s.json:23: limits.tasksPerJob: want a whole number, got 1.5`},
		{`"info"`, `"loud"`, `s.json:24: log.level: unknown word "loud"`},
		{`"operators": "127.0.0.1:7003"`, `"operators": "10.0.0.1:7003"`, ``},
	} {
		in := strings.Replace(validSettings, c.old, c.replacement, 1)
		_, err := parser.ParseSettings("s.json", []byte(in))
		check(t, c.old+" -> "+c.replacement, err, c.want)
	}
	withoutToken := strings.Replace(validSettings, `"operatorTokenFile": "operator-token",`, ``, 1)
	withoutToken = strings.Replace(withoutToken, `"127.0.0.1:7003"`, `"10.0.0.1:7003"`, 1)
	_, err := parser.ParseSettings("s.json", []byte(withoutToken))
	check(t, "operators' listener beyond loopback without a token", err, `s.json:1: operatorTokenFile: must be given`)
}

// check fails the test unless err has a line that starts with want, or is nil for an empty want.
func check(t *testing.T, name string, err error, want string) {
	t.Helper()
	switch {
	case want == "" && err != nil:
		t.Errorf("%s: refused: %v", name, err)
	case want != "" && (err == nil || !strings.Contains("\n"+err.Error(), "\n"+want)):
		t.Errorf("%s: error\n%v\nwant a line that starts with\n%s", name, err, want)
	}
}

// A single entry VM may form a group of one and needs no peer token.
func TestSingleEntryVM(t *testing.T) {
	_, err := parser.ParseSettings("s.json", []byte(`{"name": "a", "failureDomain": "d", "dataFolder": "data",
		"listen": {"callers": "127.0.0.1:1", "servers": "127.0.0.1:2", "operators": "127.0.0.1:3", "peers": "127.0.0.1:4"},
		"entryVMs": [{"name": "a", "failureDomain": "d", "peers": "127.0.0.1:4"}],
		"groups": [{"failureDomain": "d", "members": ["a"]}], "voters": ["a"]}`))
	if err != nil {
		t.Error(err)
	}
}

// An invalid task file must be refused before it takes effect on every entry VM.
func TestInvalidTaskFiles(t *testing.T) {
	many := strings.Repeat(`{"name": "a"},`, parser.MaxTasksPerService+1)
	for _, c := range []struct{ in, want string }{
		{`{"service": "s", "tasks": [{"name": "a", "timeout": "10m"}]}`, ``},
		{`{"service": "s", "runsOn": "workers", "tasks": [{"name": "a", "cores": 1.5, "memory": "2GiB", "accelerators": 1}]}`, ``},
		{`[]`, `f.json:1: want an object, got a list`},
		{`{"tasks": [{"name": "a"}]}`, `f.json:1: service: must be given`},
		{`{"service": "s"}`, `f.json:1: tasks: must hold at least one task`},
		{`{"service": "s", "tasks": [` + many + `]}`, `f.json:1: tasks: must hold at most 1000 tasks, got 1001`},
		{`{"service": "s/t", "tasks": [{"name": "a"}]}`, `f.json:1: service: "s/t" must be`},
		{"{\"service\": \"s\", \"tasks\": [{\"name\": \"a\"},\n{\"name\": \"a\"}]}", `f.json:2: tasks[1].name: task "a" is described twice`},
		{`{"service": "s", "tasks": [{"name": "1a"}]}`, `f.json:1: tasks[0].name: "1a" must be`},
		{`{"service": "s", "callers": ["x"], "shares": {"y": 2}, "tasks": [{"name": "a"}]}`, `f.json:1: shares.y: team "y" may not call`},
		{`{"service": "s", "callers": ["x"], "quotas": {"y": 2}, "tasks": [{"name": "a"}]}`, `f.json:1: quotas.y: team "y" may not call`},
		{`{"service": "s", "shares": {"y": 0}, "tasks": [{"name": "a"}]}`, `f.json:1: shares.y: must be at least 1`},
		{`{"service": "s", "maxQueued": -1, "tasks": [{"name": "a"}]}`, `f.json:1: maxQueued: must not be negative`},
		{`{"service": "s", "runsOn": "worker", "tasks": [{"name": "a"}]}`, `f.json:1: runsOn: unknown word "worker"`},
		{`{"service": "s", "overload": "drop", "tasks": [{"name": "a"}]}`, `f.json:1: overload: unknown word "drop"`},
		{`{"service": "s", "tasks": [{"name": "a", "timeout": "10m1s"}]}`, `f.json:1: tasks[0].timeout: must be at most 10m`},
		{`{"service": "s", "tasks": [{"name": "a", "timeout": "-1s"}]}`, `f.json:1: tasks[0].timeout: must not be negative`},
		{`{"service": "s", "tasks": [{"name": "a", "cores": 1}]}`, `f.json:1: tasks[0].cores: applies only`},
		{`{"service": "s", "tasks": [{"name": "a", "memory": "1GiB"}]}`, `f.json:1: tasks[0].memory: applies only`},
		{`{"service": "s", "tasks": [{"name": "a", "accelerators": 1}]}`, `f.json:1: tasks[0].accelerators: applies only`},
		{`{"service": "s", "runsOn": "workers", "tasks": [{"name": "a", "memory": "2G"}]}`, `f.json:1: tasks[0].memory: want a size`},
		{`{"service": "s", "runsOn": "workers", "tasks": [{"name": "a", "memory": "-2GiB"}]}`, `f.json:1: tasks[0].memory: want a size`},
		{`{"service": "s", "runsOn": "workers", "tasks": [{"name": "a", "cores": -1}]}`, `f.json:1: tasks[0].cores: must be 0 to`},
		{`{"service": "s", "tasks": [{"name": "a", "timeout": {}}]}`, `f.json:1: tasks[0].timeout: want a duration with its unit, such as "250ms", got an object`},
		{`{"service": "s", "shares": [], "tasks": [{"name": "a"}]}`, `f.json:1: shares: want an object, got a list`},
	} {
		_, err := parser.ParseTaskFile("f.json", []byte(c.in))
		check(t, c.in, err, c.want)
	}
}

// All errors of a file are reported at once, in the order of their lines.
func ExampleParseTaskFile() {
	_, err := parser.ParseTaskFile("rallyDesk.json", []byte(`{
  "service": "rallyDesk",
  "callers": ["marshals"],
  "shares": {"desks": 2}, // may not call
  "overload": "drop",
  "tasks": [
    {"name": "checkBib", "timeout": "2 s"},
    {"name": "checkBib", "cores": 1},
  ],
}`))
	var all parser.Errors
	fmt.Println(errors.As(err, &all), len(all))
	fmt.Println(err)
	// Output:
	// true 5
	// rallyDesk.json:4: shares.desks: team "desks" may not call this service
	// rallyDesk.json:5: overload: unknown word "drop", want one of ["refuse" "queue"]
	// rallyDesk.json:7: tasks[0].timeout: want a duration with its unit, such as "250ms", got "2 s"
	// rallyDesk.json:8: tasks[1].cores: applies only with "runsOn": "workers"; backend servers have slots
	// rallyDesk.json:8: tasks[1].name: task "checkBib" is described twice
}

// New users copy the example settings, so each file must be valid, and no two processes may listen on one address.
func TestExampleSettings(t *testing.T) {
	for _, e := range []string{"atlas-foulee", "swan-valley"} {
		files, err := filepath.Glob("../../examples/" + e + "/settings/*.json")
		if err != nil || len(files) != 6 {
			t.Fatalf("%s: %d settings files, error %v, want 6", e, len(files), err)
		}
		fileByAddress := map[string]string{}
		for _, f := range files {
			s, err := parser.LoadSettings(f)
			if err != nil {
				t.Error(err)
				continue
			}
			for _, a := range []string{s.Listen.Callers, s.Listen.Servers, s.Listen.Operators, s.Listen.Peers} {
				if fileByAddress[a] != "" {
					t.Errorf("%s: %s is bound by %s too", f, a, fileByAddress[a])
				}
				fileByAddress[a] = f
			}
			b, err := os.ReadFile(filepath.Join("../../examples", e, "settings", s.Name+".json"))
			if err != nil || len(b) == 0 {
				t.Errorf("%s: no file is named after entry VM %s", f, s.Name)
			}
		}
	}
}
