package parser_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"sort"
	"testing"

	"clementineyard/internal/parser"
)

// FuzzParseTaskFile guards against panics, faults without a line, and a canonical form that reads differently.
func FuzzParseTaskFile(f *testing.F) {
	f.Fuzz(func(t *testing.T, in []byte) {
		tf, err := parser.ParseTaskFile("f.json", in)
		if err != nil {
			checkErrors(t, in, err)
			return
		}
		b, err := json.Marshal(tf)
		if err != nil {
			t.Fatal(err)
		}
		again, err := parser.ParseTaskFile("f.json", b)
		if err != nil {
			t.Fatalf("canonical form %s is refused: %v", b, err)
		}
		// The canonical form does not tell an empty list or object from a missing one.
		b2, err := json.Marshal(again)
		if err != nil || !bytes.Equal(b, b2) {
			t.Fatalf("canonical form changes from %s to %s, error %v", b, b2, err)
		}
	})
}

// FuzzParseSettings guards against panics, faults without a line, and defaults that are refused when written out.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Fuzz(func(t *testing.T, in []byte) {
		s, err := parser.ParseSettings("s.json", in)
		if err != nil {
			checkErrors(t, in, err)
			return
		}
		b, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := parser.ParseSettings("s.json", b)
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("settings %s read again give %+v, error %v", b, again, err)
		}
	})
}

// checkErrors holds every fault against the input it came from.
func checkErrors(t *testing.T, in []byte, err error) {
	t.Helper()
	var all parser.Errors
	if !errors.As(err, &all) || len(all) == 0 {
		t.Fatalf("error is no list of faults: %v", err)
	}
	last := bytes.Count(in, []byte("\n")) + 1
	for _, e := range all {
		if e.Line < 1 || e.Line > last || e.Message == "" {
			t.Errorf("fault %q: line must be 1 to %d", e, last)
		}
	}
	if !sort.SliceIsSorted(all, func(i, j int) bool { return all[i].Line < all[j].Line }) {
		t.Errorf("faults are not in the order of their lines:\n%v", err)
	}
}
