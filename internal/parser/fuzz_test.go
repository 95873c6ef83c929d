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

// FuzzParseTaskFile checks that no input causes a panic or an error without a line, and that encoding a parsed file and
// parsing it again changes nothing.
func FuzzParseTaskFile(f *testing.F) {
	f.Fuzz(func(t *testing.T, in []byte) {
		file, err := parser.ParseTaskFile("f.json", in)
		if err != nil {
			checkErrors(t, in, err)
			return
		}
		encoded, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		again, err := parser.ParseTaskFile("f.json", encoded)
		if err != nil {
			t.Fatalf("canonical form %s is refused: %v", encoded, err)
		}
		// Encodings are compared because the canonical form leaves out empty lists and objects.
		encodedAgain, err := json.Marshal(again)
		if err != nil || !bytes.Equal(encoded, encodedAgain) {
			t.Fatalf("canonical form changes from %s to %s, error %v", encoded, encodedAgain, err)
		}
	})
}

// FuzzParseSettings checks that no input causes a panic or an error without a line, and that parsed settings with their
// defaults can be encoded and parsed again.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, in []byte) {
		s, err := parser.ParseSettings("s.json", in)
		if err != nil {
			checkErrors(t, in, err)
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := parser.ParseSettings("s.json", encoded)
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("parsing settings %s again gives %+v, error %v", encoded, again, err)
		}
	})
}

// checkErrors checks that err is an Errors in the order of lines and that every line exists in the input.
func checkErrors(t *testing.T, in []byte, err error) {
	t.Helper()
	var all parser.Errors
	if !errors.As(err, &all) || len(all) == 0 {
		t.Fatalf("got error %v, want a non-empty parser.Errors", err)
	}
	lastLine := bytes.Count(in, []byte("\n")) + 1
	for _, e := range all {
		if e.Line < 1 || e.Line > lastLine || e.Message == "" {
			t.Errorf("error %q: want a message and a line from 1 to %d", e, lastLine)
		}
	}
	if !sort.SliceIsSorted(all, func(i, j int) bool { return all[i].Line < all[j].Line }) {
		t.Errorf("errors are not in the order of their lines:\n%v", err)
	}
}
