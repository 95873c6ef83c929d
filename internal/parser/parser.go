package parser

import (
	"os"
	"regexp"

	"github.com/rotisserie/eris"
)

// namePattern bounds names that appear in HTTP paths, headers and keys. A dot would end the first part of a key.
var namePattern = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9_-]{0,63}$`)

// Source is one file that has been read but not parsed.
type Source struct {
	Name    string
	Content []byte
}

// LoadSettings reads and checks the settings file at path. A faulty file gives an Errors.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseSettings(path, b)
}

// ParseSettings checks a settings file and fills in the defaults; name is used in errors. A faulty file gives an
// Errors.
func ParseSettings(name string, b []byte) (*Settings, error) {
	s := &Settings{}
	d := readDocument(name, b, s)
	if !d.unparsed {
		s.setDefaults()
		d.checkSettings(s)
	}
	if err := d.errors.orNil(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseTaskFile reads and checks one task file; name is used in errors. A faulty file gives an Errors.
func ParseTaskFile(name string, b []byte) (*TaskFile, error) {
	f, d := readTaskFile(Source{Name: name, Content: b})
	if err := d.errors.orNil(); err != nil {
		return nil, err
	}
	return f, nil
}

// ParseTaskFiles checks task files together: no two may describe the same service. Faults of any of them give one
// Errors.
func ParseTaskFiles(sources []Source) ([]*TaskFile, error) {
	var out []*TaskFile
	var all Errors
	first := map[string]string{}
	for _, src := range sources {
		f, d := readTaskFile(src)
		if other, ok := first[f.Service]; ok && f.Service != "" {
			d.addf("service", "%q is also described by %s", f.Service, other)
		} else {
			first[f.Service] = src.Name
		}
		all = append(all, d.errors...)
		out = append(out, f)
	}
	if err := all.orNil(); err != nil {
		return nil, err
	}
	return out, nil
}

func readTaskFile(src Source) (*TaskFile, *document) {
	f := &TaskFile{}
	d := readDocument(src.Name, src.Content, f)
	if !d.unparsed {
		d.checkTaskFile(f)
	}
	return f, d
}
