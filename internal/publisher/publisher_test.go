package publisher_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clementineyard/internal/parser"
	"clementineyard/internal/publisher"
)

// taskFile parses a task file that must be valid.
func taskFile(text string) *parser.TaskFile {
	f, err := parser.ParseTaskFile("f.json", []byte(text))
	if err != nil {
		panic(err)
	}
	return f
}

// Only services that change are shown and sent; a different spelling of the same value is not a change.
func ExampleCompare() {
	inForce := map[string]json.RawMessage{
		"rallyDesk": []byte(`{"service":"rallyDesk","tasks":[{"name":"checkBib","timeout":"60s"},{"name":"old"}]}`),
		"same":      []byte(`{"tasks":[{"timeout":"60s","name":"a"}],"service":"same"}`),
		"gone":      []byte(`{"service":"gone","tasks":[{"name":"a"}]}`),
		"elsewhere": []byte(`{"service":"elsewhere","tasks":[{"name":"a"}]}`),
	}
	d, err := publisher.Compare(inForce, []*parser.TaskFile{
		taskFile(`{"service":"rallyDesk","shares":{"marshals":5},"tasks":[{"name":"checkBib","timeout":"2s"}]}`),
		taskFile(`{"service":"same","tasks":[{"name":"a","timeout":"1m"}]}`),
		taskFile(`{"service":"fresh","tasks":[{"name":"a"}]}`),
	}, []string{"gone"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(d.Render())
	// Output:
	// fresh: added
	//   + service: "fresh"
	//   + tasks.a.name: "a"
	// gone: removed
	//   - service: "gone"
	//   - tasks.a.name: "a"
	// rallyDesk: changed
	//   + shares.marshals: 5
	//   ~ tasks.checkBib.timeout: "1m0s" -> "2s"
	//   - tasks.old.name: "old"
	// elsewhere: in force, in none of the folders; stays unless removed with --remove elsewhere
}

// Removing a service that a folder still describes, or that is not in force, is a mistake and must be refused.
func TestInvalidRemovals(t *testing.T) {
	inForce := map[string]json.RawMessage{"a": []byte(`{"service":"a","tasks":[{"name":"x"}]}`)}
	for remove, files := range map[string][]*parser.TaskFile{
		"a": {taskFile(`{"service":"a","tasks":[{"name":"x"}]}`)},
		"b": nil,
	} {
		if _, err := publisher.Compare(inForce, files, []string{remove}); err == nil {
			t.Errorf("removal of %q is accepted", remove)
		}
	}
}

// An invalid file must stop the whole publication, and every error must be reported.
func TestCollectInvalidFiles(t *testing.T) {
	const good = `{"service": "a", "tasks": [{"name": "x"}]}`
	for _, c := range []struct {
		name  string
		files map[string]string
		want  []string
	}{
		{"service twice", map[string]string{"1.json": good, "sub/2.json": good}, []string{`2.json:1: service: "a" is also described by`}},
		{"no task file", map[string]string{"1.json": good, "package.json": `{"version": "1"}`}, []string{"package.json:1: version: unknown field"}},
		{"two faulty files", map[string]string{"1.json": `{`, "2.json": `[]`}, []string{"1.json:1: ", "2.json:1: want an object"}},
		{"empty folder", map[string]string{"notes.txt": ""}, []string{"no *.json files below"}},
	} {
		dir := t.TempDir()
		for name, text := range c.files {
			p := filepath.Join(dir, name)
			if err := os.MkdirAll(filepath.Dir(p), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(p, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		_, err := publisher.Collect([]string{dir})
		for _, w := range c.want {
			if err == nil || !strings.Contains(err.Error(), w) {
				t.Errorf("%s: error %v, want %q", c.name, err, w)
			}
		}
	}
	if _, err := publisher.Collect([]string{"no/such/folder"}); err == nil {
		t.Error("a folder that does not exist is accepted")
	}
}

// New users copy the examples, so the task files of each example must be valid together.
func TestExampleTaskFiles(t *testing.T) {
	for example, services := range map[string]string{
		"atlas-foulee": "inscription raceResults", "swan-valley": "rallyDesk stageModel",
	} {
		files, err := publisher.Collect([]string{filepath.Join("../../examples", example, "tasks")})
		var names []string
		for _, f := range files {
			names = append(names, f.Service)
		}
		if err != nil || strings.Join(names, " ") != services {
			t.Errorf("%s: services %q, error %v, want %q", example, names, err, services)
		}
	}
}
