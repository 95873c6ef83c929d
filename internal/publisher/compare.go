package publisher

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"clementineyard/internal/parser"
)

// Kind says how a service changes.
type Kind string

// The kinds of change.
const (
	Added   Kind = "added"
	Changed Kind = "changed"
	Removed Kind = "removed"
)

// FieldChange is a change of one field of a service. Old and New hold JSON; Old is empty for an added field, and New
// for a removed one.
type FieldChange struct {
	// Field is the path of the field, with tasks by name, for example "tasks.lookUp.timeout".
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// ServiceChange is the change of one service.
type ServiceChange struct {
	Service string        `json:"service"`
	Kind    Kind          `json:"kind"`
	Fields  []FieldChange `json:"fields,omitempty"`
	// Content is the canonical JSON of the new task file; empty when the service is removed.
	Content json.RawMessage `json:"-"`
}

// Difference lists the changes that publishing would make, in the order of the services' names.
type Difference struct {
	Services []ServiceChange `json:"services"`
	// Kept lists the services in force that no file describes; publishing leaves them unchanged.
	Kept []string `json:"kept,omitempty"`
}

// Compare returns the difference between the task files in force, by service, and files. A service that no file
// describes is removed only if remove names it, so that publishing one folder of several removes nothing. Removing a
// service that a file describes, or that is not in force, is an error.
func Compare(inForce map[string]json.RawMessage, files []*parser.TaskFile, remove []string) (*Difference, error) {
	d := &Difference{Services: []ServiceChange{}}
	described := map[string]bool{}
	for _, f := range files {
		described[f.Service] = true
		c, err := compareService(inForce[f.Service], f)
		if err != nil {
			return nil, err
		}
		if c != nil {
			d.Services = append(d.Services, *c)
		}
	}
	for _, s := range remove {
		if described[s] {
			return nil, eris.Errorf("remove service %q: a folder still describes it", s)
		}
		old, ok := inForce[s]
		if !ok {
			return nil, eris.Errorf("remove service %q: it is not in force", s)
		}
		if slices.ContainsFunc(d.Services, func(c ServiceChange) bool { return c.Service == s }) {
			continue
		}
		fields, err := compareFields(old, nil)
		if err != nil {
			return nil, err
		}
		d.Services = append(d.Services, ServiceChange{Service: s, Kind: Removed, Fields: fields})
	}
	for _, s := range slices.Sorted(maps.Keys(inForce)) {
		if !described[s] && !slices.Contains(remove, s) {
			d.Kept = append(d.Kept, s)
		}
	}
	slices.SortFunc(d.Services, func(a, b ServiceChange) int { return strings.Compare(a.Service, b.Service) })
	return d, nil
}

// compareService returns the change from the file in force, which is nil for a new service, to f. It returns nil when
// nothing changes.
func compareService(oldFile json.RawMessage, f *parser.TaskFile) (*ServiceChange, error) {
	newFile, err := json.Marshal(f)
	if err != nil {
		return nil, eris.Wrapf(err, "encode task file of service %q", f.Service)
	}
	fields, err := compareFields(oldFile, newFile)
	if err != nil {
		return nil, err
	}
	if len(fields) == 0 {
		return nil, nil
	}
	c := &ServiceChange{Service: f.Service, Kind: Changed, Fields: fields, Content: newFile}
	if oldFile == nil {
		c.Kind = Added
	}
	return c, nil
}

// compareFields returns the fields that differ between two files, in the order of their paths. Either may be nil.
func compareFields(oldFile, newFile json.RawMessage) ([]FieldChange, error) {
	oldFields, err := flatten(oldFile)
	if err != nil {
		return nil, err
	}
	newFields, err := flatten(newFile)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(oldFields)
	maps.Copy(paths, newFields)
	var out []FieldChange
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if oldFields[path] != newFields[path] {
			out = append(out, FieldChange{Field: path, Old: oldFields[path], New: newFields[path]})
		}
	}
	return out, nil
}

// flatten maps the path of each field of a task file to its JSON. It converts the file to canonical form first, so that
// different spellings of a value, such as "60s" and "1m", are equal. A file of another program version that this one
// refuses is compared unconverted.
func flatten(file json.RawMessage) (map[string]string, error) {
	out := map[string]string{}
	if file == nil {
		return out, nil
	}
	if f, err := parser.ParseTaskFile("in force", file); err == nil {
		if file, err = json.Marshal(f); err != nil {
			return nil, eris.Wrapf(err, "encode task file of service %q", f.Service)
		}
	}
	var v map[string]any
	dec := json.NewDecoder(bytes.NewReader(file))
	dec.UseNumber() // As float64, different large numbers could round to the same value.
	if err := dec.Decode(&v); err != nil {
		return nil, eris.Wrap(err, "decode task file in force")
	}
	return out, flattenInto(out, "", v)
}

// flattenInto adds the fields of v, whose path is given, to out. Tasks are named in paths; other lists are one field.
func flattenInto(out map[string]string, path string, v any) error {
	switch t := v.(type) {
	case map[string]any:
		for k, e := range t {
			if err := flattenInto(out, strings.TrimPrefix(path+"."+k, "."), e); err != nil {
				return err
			}
		}
		return nil
	case []any:
		if path == "tasks" {
			for _, e := range t {
				task, _ := e.(map[string]any)
				name, _ := task["name"].(string)
				if err := flattenInto(out, path+"."+name, e); err != nil {
					return err
				}
			}
			return nil
		}
	}
	b, err := json.Marshal(v)
	if err != nil {
		return eris.Wrapf(err, "encode field %q", path)
	}
	out[path] = string(b)
	return nil
}

// Render returns the difference as text for operators, with one line for each service and each field.
func (d *Difference) Render() string {
	var b strings.Builder
	for _, s := range d.Services {
		b.WriteString(s.Service + ": " + string(s.Kind) + "\n")
		for _, f := range s.Fields {
			switch {
			case f.Old == "":
				b.WriteString("  + " + f.Field + ": " + f.New + "\n")
			case f.New == "":
				b.WriteString("  - " + f.Field + ": " + f.Old + "\n")
			default:
				b.WriteString("  ~ " + f.Field + ": " + f.Old + " -> " + f.New + "\n")
			}
		}
	}
	for _, s := range d.Kept {
		b.WriteString(s + ": in force, in none of the folders; stays unless removed with --remove " + s + "\n")
	}
	if len(d.Services) == 0 {
		b.WriteString("nothing changes\n")
	}
	return b.String()
}
