package listener

import (
	"testing"

	"clementineyard/wire"
)

// FuzzJob guards against panics and against submissions that break the documented limits.
func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"key":"a.1.0123456789","team":"t","service":"s","tasks":[{"id":"1","task":"x","payload":{"a":1}}]}`))
	f.Add([]byte(`{"tasks":[{"id":"1"},{"id":"1"}]}`))
	f.Add([]byte(`{"tasks":[{"id":"1","memory":"1GiB","cores":1e300}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var in Job
		if bad := decodeBody(b, &in); bad != nil {
			return
		}
		s, bad := in.submission(10)
		if bad != nil {
			return
		}
		seen := map[string]bool{}
		for _, task := range s.Tasks {
			if seen[task.Id] || task.Id == "" || task.Ask.Millicores < 0 || task.Ask.Memory < 0 {
				t.Errorf("accepted %v", task)
			}
			seen[task.Id] = true
		}
		if len(s.Tasks) == 0 || len(s.Tasks) > 10 || len(contentHash(s)) != 16 {
			t.Errorf("accepted %d tasks", len(s.Tasks))
		}
	})
}

// FuzzContentHash guards against two submissions that differ and hash alike because fields run into each other.
func FuzzContentHash(f *testing.F) {
	f.Add("ab", "c", "a", "bc")
	f.Add("1:a", "", "1", ":a")
	f.Fuzz(func(t *testing.T, team1, service1, team2, service2 string) {
		a := contentHash(&wire.Submission{Team: team1, Service: service1})
		b := contentHash(&wire.Submission{Team: team2, Service: service2})
		if (team1 == team2 && service1 == service2) != (string(a) == string(b)) {
			t.Errorf("%q/%q and %q/%q", team1, service1, team2, service2)
		}
	})
}
