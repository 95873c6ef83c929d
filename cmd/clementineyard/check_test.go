package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// New users copy the examples, so the command must accept each settings file together with its deployment's task files.
func TestCheckExamples(t *testing.T) {
	for _, example := range []string{"atlas-foulee", "swan-valley"} {
		dir := filepath.Join("../../examples", example)
		files, err := filepath.Glob(filepath.Join(dir, "settings", "*.json"))
		if err != nil || len(files) != 6 {
			t.Fatalf("%s: %d settings files, error %v, want 6", example, len(files), err)
		}
		for _, f := range files {
			if err := runCheck(f, []string{filepath.Join(dir, "tasks")}); err != nil {
				t.Errorf("check of %s and its task files: %v", f, err)
			}
		}
	}
}

// One run must report the errors of both the settings and the task files.
func TestCheckReportsBoth(t *testing.T) {
	err := runCheck("no/settings.json", []string{"no/folder"})
	if err == nil || !strings.Contains(err.Error(), "no/settings.json") || !strings.Contains(err.Error(), "no/folder") {
		t.Errorf("error %v names only one of two missing files", err)
	}
	if err := runCheck("", nil); err == nil {
		t.Error("a check without files is accepted")
	}
}
