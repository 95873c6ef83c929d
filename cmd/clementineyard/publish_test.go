package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clementineyard/internal/listener"
)

// An author whose change conflicts must see which change won, and a change whose result is unknown must not be reported
// as refused.
func TestPublishReports(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.json"), []byte(`{"service": "a", "tasks": [{"name": "x"}]}`), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, id, audit, answer, want string }{
		{"accepted", "", `[]`, `{"verdict":"accepted","version":8}`, ""},
		{"conflict", "", `[]`, `{"verdict":"conflict","winnerVersion":8,"winnerAuthor":"ana","winnerId":"c-1"}`, `conflict: version 8 by "ana" (change id "c-1") came first`},
		{"refused", "", `[]`, `{"verdict":"noMajority"}`, `refused: noMajority`},
		{"id in force", "c-2", `[{"id":"c-2","toVersion":8}]`, `{"verdict":"conflict"}`, ""},
		{"id not in force", "c-2", `[{"id":"c-1"},{}]`, `{"verdict":"conflict"}`, "conflict"},
		{"audit of another form", "c-2", `{"entries":[]}`, `{"verdict":"accepted"}`, ""},
	} {
		var sent listener.ChangeRequest
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := c.answer
			switch r.URL.Path {
			case "/v1/configuration":
				body = `{"version":7,"files":{}}`
			case "/v1/audit":
				body = c.audit
			default:
				if err := json.NewDecoder(r.Body).Decode(&sent); err != nil || sent.BaseVersion != 7 || (c.id != "" && sent.ID != c.id) {
					t.Errorf("%s: change %+v, error %v", c.name, sent, err)
				}
			}
			_, _ = w.Write([]byte(body))
		}))
		f := &publishFlags{operatorFlags: operatorFlags{entry: strings.TrimPrefix(s.URL, "http://")}, dirs: folderArgs{dir}, id: c.id}
		err := f.run()
		if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
		s.Close()
	}
}
