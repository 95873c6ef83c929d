package parser

import (
	"os"
	"regexp"

	"github.com/rotisserie/eris"
)

// namePattern matches names that are safe in HTTP paths, headers and keys. A dot is excluded because it separates the
// parts of a key.
var namePattern = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9_-]{0,63}$`)

// Source is the content of one file before it is parsed.
type Source struct {
	// Name is the file's name in errors.
	Name    string
	Content []byte
}

// LoadSettings reads and checks the settings file at path. If its content is invalid, the error is an Errors.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseSettings(path, b)
}

// ParseSettings decodes and checks a settings file and fills in the defaults; name is the file's name in errors. If the
// content is invalid, the error is an Errors.
func ParseSettings(name string, b []byte) (*Settings, error) {
	s := &Settings{}
	d := readDocument(name, b, s)
	if !d.malformed {
		s.setDefaults()
		d.checkSettings(s)
	}
	if err := d.errors.errorOrNil(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseTaskFile decodes and checks one task file; name is the file's name in errors. If the content is invalid, the
// error is an Errors.
func ParseTaskFile(name string, b []byte) (*TaskFile, error) {
	f, d := readTaskFile(Source{Name: name, Content: b})
	if err := d.errors.errorOrNil(); err != nil {
		return nil, err
	}
	return f, nil
}

// ParseTaskFiles decodes and checks task files together: no two may describe the same service. If any of them is
// invalid, the error is an Errors with the errors of all files.
func ParseTaskFiles(sources []Source) ([]*TaskFile, error) {
	var out []*TaskFile
	var all Errors
	fileByService := map[string]string{}
	for _, src := range sources {
		f, d := readTaskFile(src)
		if other, ok := fileByService[f.Service]; ok && f.Service != "" {
			d.errorf("service", "%q is also described by %s", f.Service, other)
		} else {
			fileByService[f.Service] = src.Name
		}
		all = append(all, d.errors...)
		out = append(out, f)
	}
	if err := all.errorOrNil(); err != nil {
		return nil, err
	}
	return out, nil
}

// readTaskFile decodes and checks one task file. Its errors are in the returned document.
func readTaskFile(src Source) (*TaskFile, *document) {
	f := &TaskFile{}
	d := readDocument(src.Name, src.Content, f)
	if !d.malformed {
		d.checkTaskFile(f)
	}
	return f, d
}
