package recorder_test

import (
	"fmt"
	"testing"
	"time"

	"clementineyard/internal/recorder"
)

// A valid key must have exactly one spelling: with a second one the same submission would have two records.
func TestParseKey(t *testing.T) {
	for _, c := range []struct {
		key string
		ok  bool
	}{
		{"casa-a.1764846000000.0123456789abcdef", true},
		{"casa-a.01764846000000.0123456789abcdef", false},
		{"casa-a.-5.0123456789abcdef", false},
		{"casa-a.1764846000000.short", false},
		{"casa-a.1764846000000.0123456789abcde/", false},
		{".1764846000000.0123456789abcdef", false},
		{"casa-a.1764846000000", false},
		{"", false},
	} {
		k, err := recorder.ParseKey(c.key)
		if (err == nil) != c.ok {
			t.Errorf("ParseKey(%q): error %v, want ok %t", c.key, err, c.ok)
		}
		if err == nil && k.String() != c.key {
			t.Errorf("ParseKey(%q).String() = %q", c.key, k)
		}
	}
}

func ExampleParseKey() {
	k, err := recorder.ParseKey("casa-a.1764846000000.0123456789abcdef")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(k.Home, k.Issued.UTC().Format(time.RFC3339))
	// Output: casa-a 2025-12-04T11:00:00Z
}
