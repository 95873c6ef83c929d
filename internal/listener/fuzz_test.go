package listener

import (
	"testing"

	"clementineyard/wire"
)

// FuzzJob checks that no job body causes a panic or a submission beyond the documented limits.
func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"key":"a.1.0123456789","team":"t","service":"s","tasks":[{"id":"1","task":"x","payload":{"a":1}}]}`))
	f.Add([]byte(`{"tasks":[{"id":"1"},{"id":"1"}]}`))
	f.Add([]byte(`{"tasks":[{"id":"1","memory":"1GiB","cores":1e300}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		in, reqErr := decodeJob(nil, b, 10)
		if reqErr != nil {
			return
		}
		s, reqErr := in.toSubmission(10)
		if reqErr != nil {
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

// FuzzContentHash checks that different submissions have different hashes, which fails if the hash doesn't mark where
// one field ends and the next begins.
func FuzzContentHash(f *testing.F) {
	f.Add("ab", "c", "a", "bc")
	f.Add("1:a", "", "1", ":a")
	f.Fuzz(func(t *testing.T, team1, service1, team2, service2 string) {
		a := contentHash(&wire.Submission{Team: team1, Service: service1})
		b := contentHash(&wire.Submission{Team: team2, Service: service2})
		if (team1 == team2 && service1 == service2) != (string(a) == string(b)) {
			t.Errorf("hashes of %q/%q and %q/%q must be equal exactly when the submissions are", team1, service1, team2, service2)
		}
	})
}
