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

// Kind tells what happens to a service.
type Kind string

// The kinds of change.
const (
	Added   Kind = "added"
	Changed Kind = "changed"
	Removed Kind = "removed"
)

// FieldChange is one field of a service that changes. Old and New hold JSON; Old is empty for a field that is new, and
// New for one that goes.
type FieldChange struct {
	// Field is the path of the field; tasks are named, for example "tasks.lookUp.timeout".
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// ServiceChange is one service that changes.
type ServiceChange struct {
	Service string        `json:"service"`
	Kind    Kind          `json:"kind"`
	Fields  []FieldChange `json:"fields,omitempty"`
	// Content is the canonical JSON of the new task file; empty when the service is removed.
	Content json.RawMessage `json:"-"`
}

// Difference is what publishing would change, by service.
type Difference struct {
	Services []ServiceChange `json:"services"`
	// Kept lists services in force that no folder describes; they stay as they are.
	Kept []string `json:"kept,omitempty"`
}

// Compare holds task files against the files in force. A service that no file describes is removed only when remove
// names it, so that publishing one folder of several removes nothing.
func Compare(inForce map[string]json.RawMessage, files []*parser.TaskFile, remove []string) (*Difference, error) {
	d := &Difference{Services: []ServiceChange{}}
	given := map[string]bool{}
	for _, f := range files {
		given[f.Service] = true
		c, err := compareService(inForce[f.Service], f)
		if err != nil {
			return nil, err
		}
		if c != nil {
			d.Services = append(d.Services, *c)
		}
	}
	for _, s := range remove {
		if given[s] {
			return nil, eris.Errorf("service %q is to be removed, but a folder still describes it", s)
		}
		old, ok := inForce[s]
		if !ok {
			return nil, eris.Errorf("service %q is to be removed, but is not in force", s)
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
		if !given[s] && !slices.Contains(remove, s) {
			d.Kept = append(d.Kept, s)
		}
	}
	slices.SortFunc(d.Services, func(a, b ServiceChange) int { return strings.Compare(a.Service, b.Service) })
	return d, nil
}

// compareService returns nil when nothing changes.
func compareService(old json.RawMessage, f *parser.TaskFile) (*ServiceChange, error) {
	content, err := json.Marshal(f)
	if err != nil {
		return nil, eris.Wrapf(err, "write %s", f.Service)
	}
	fields, err := compareFields(old, content)
	if err != nil {
		return nil, err
	}
	if len(fields) == 0 {
		return nil, nil
	}
	c := &ServiceChange{Service: f.Service, Kind: Changed, Fields: fields, Content: content}
	if old == nil {
		c.Kind = Added
	}
	return c, nil
}

func compareFields(old, content json.RawMessage) ([]FieldChange, error) {
	a, err := flatten(old)
	if err != nil {
		return nil, err
	}
	b, err := flatten(content)
	if err != nil {
		return nil, err
	}
	all := maps.Clone(a)
	maps.Copy(all, b)
	var out []FieldChange
	for _, k := range slices.Sorted(maps.Keys(all)) {
		if a[k] != b[k] {
			out = append(out, FieldChange{Field: k, Old: a[k], New: b[k]})
		}
	}
	return out, nil
}

// flatten maps the path of each field to its JSON. Files are brought to one form first, so that spelling, such as
// "60s" and "1m", is no change. A file of another version that this one refuses is compared as it stands.
func flatten(file json.RawMessage) (map[string]string, error) {
	out := map[string]string{}
	if file == nil {
		return out, nil
	}
	if f, err := parser.ParseTaskFile("in force", file); err == nil {
		if file, err = json.Marshal(f); err != nil {
			return nil, eris.Wrapf(err, "write %s", f.Service)
		}
	}
	var v map[string]any
	dec := json.NewDecoder(bytes.NewReader(file))
	dec.UseNumber() // Large numbers must not look equal after rounding.
	if err := dec.Decode(&v); err != nil {
		return nil, eris.Wrap(err, "read the file in force")
	}
	return out, flattenInto(out, "", v)
}

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
		return eris.Wrapf(err, "write %s", path)
	}
	out[path] = string(b)
	return nil
}

// Render writes the difference for people, one line for each service and field.
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
