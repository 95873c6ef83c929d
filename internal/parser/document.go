package parser

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var syntaxErrorLine = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// document is one file while it is read. It remembers where each field stands, so that checks made after decoding can
// still name the line.
type document struct {
	file string
	// lineStarts holds the offset of the first byte of each line.
	lineStarts []int
	// lines maps the path of each field to its line.
	lines map[string]int
	// faulty holds the paths that have a fault, and unparsed is true when the file is no JSON at all. A field keeps its
	// first fault; later ones would be consequences of it.
	faulty   map[string]bool
	unparsed bool
	errors   Errors
}

// readDocument decodes b into the struct that v points to and collects every fault.
func readDocument(file string, b []byte, v any) *document {
	d := &document{file: file, lineStarts: []int{0}, lines: map[string]int{}, faulty: map[string]bool{}}
	for i, c := range b {
		if c == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
	root, err := hujson.Parse(b)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.decode(root, reflect.ValueOf(v).Elem(), "")
	return d
}

func (d *document) addSyntaxError(err error) {
	d.unparsed = true
	line, message := 1, err.Error()
	if m := syntaxErrorLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1]) // The pattern admits digits only.
		message = "column " + m[2] + ": " + message[len(m[0]):]
	}
	d.errors = append(d.errors, Error{File: d.file, Line: line, Message: message})
}

// addf records a fault of the field at path. A missing field has the line of the nearest field around it.
func (d *document) addf(path, format string, args ...any) {
	line := 0
	for p := path; ; p = parentPath(p) {
		if d.faulty[p] {
			return
		}
		if line == 0 {
			line = d.lines[p]
		}
		if p == "" {
			break
		}
	}
	line = max(line, 1)
	d.faulty[path] = true
	d.errors = append(d.errors, Error{File: d.file, Line: line, Field: path, Message: fmt.Sprintf(format, args...)})
}

func parentPath(p string) string { return p[:max(strings.LastIndexAny(p, ".["), 0)] }

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func (d *document) decode(v hujson.Value, to reflect.Value, path string) {
	// The search finds the first line that starts after the value.
	d.lines[path] = sort.SearchInts(d.lineStarts, v.StartOffset+1)
	if lit, ok := v.Value.(hujson.Literal); ok {
		d.decodeLiteral(lit, to, path)
		return
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		switch to.Kind() {
		case reflect.Struct:
			if _, ok := to.Addr().Interface().(json.Unmarshaler); !ok {
				d.decodeStruct(t, to, path)
				return
			}
		case reflect.Map:
			d.decodeMap(t, to, path)
			return
		}
		d.addf(path, "want %s, got an object", wanted(to))
	case *hujson.Array:
		if to.Kind() != reflect.Slice {
			d.addf(path, "want %s, got a list", wanted(to))
			return
		}
		to.Set(reflect.MakeSlice(to.Type(), len(t.Elements), len(t.Elements)))
		for i, e := range t.Elements {
			d.decode(e, to.Index(i), index(path, i))
		}
	}
}

func (d *document) decodeLiteral(lit hujson.Literal, to reflect.Value, path string) {
	if u, ok := to.Addr().Interface().(json.Unmarshaler); ok {
		if err := u.UnmarshalJSON(lit); err != nil {
			d.addf(path, "%s", err.Error())
		}
		return
	}
	if lit.Kind() == 'n' || json.Unmarshal(lit, to.Addr().Interface()) != nil {
		d.addf(path, "want %s, got %s", wanted(to), lit)
	}
}

func (d *document) decodeStruct(o *hujson.Object, to reflect.Value, path string) {
	fields := map[string]reflect.Value{}
	for i := range to.NumField() {
		name, _, _ := strings.Cut(to.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = to.Field(i)
	}
	d.members(o, path, func(name string, v hujson.Value) {
		f, ok := fields[name]
		if !ok {
			d.addf(join(path, name), "unknown field")
			return
		}
		d.decode(v, f, join(path, name))
	})
}

func (d *document) decodeMap(o *hujson.Object, to reflect.Value, path string) {
	to.Set(reflect.MakeMap(to.Type()))
	d.members(o, path, func(name string, v hujson.Value) {
		e := reflect.New(to.Type().Elem()).Elem()
		d.decode(v, e, join(path, name))
		to.SetMapIndex(reflect.ValueOf(name), e)
	})
}

// members calls f for each member of an object and reports names that appear twice.
func (d *document) members(o *hujson.Object, path string, f func(name string, v hujson.Value)) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		lit, _ := m.Name.Value.(hujson.Literal) // The syntax admits only strings as names.
		name := lit.String()
		p := join(path, name)
		line := sort.SearchInts(d.lineStarts, m.Name.StartOffset+1)
		if seen[name] {
			d.errors = append(d.errors, Error{File: d.file, Line: line, Field: p, Message: "is given twice"})
			continue
		}
		seen[name] = true
		d.lines[p] = line
		f(name, m.Value)
	}
}

// wanted describes the JSON that a Go value is read from.
func wanted(v reflect.Value) string {
	switch v.Addr().Interface().(type) {
	case *Duration:
		return `a duration with its unit, such as "250ms"`
	case *Bytes:
		return `a size with its unit, such as "2GiB"`
	}
	switch v.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}
