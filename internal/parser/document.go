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

// document is a file that is being decoded and checked. It records the line of each field, so that checks after
// decoding can name it.
type document struct {
	file string
	// lineStarts holds the offset of the first byte of each line.
	lineStarts []int
	// fieldLines maps the path of each field to its line.
	fieldLines map[string]int
	// invalidPaths holds the paths of fields with an error. Only the first error of a field is reported, because later
	// ones could be consequences of it.
	invalidPaths map[string]bool
	// malformed is true when the file is not JSON with comments.
	malformed bool
	errors    Errors
}

// readDocument decodes b into the struct that v points to. It collects every error in the document's errors; file is
// the name that they give.
func readDocument(file string, b []byte, v any) *document {
	d := &document{file: file, lineStarts: []int{0}, fieldLines: map[string]int{}, invalidPaths: map[string]bool{}}
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

// addSyntaxError adds an error of hujson, whose text starts with the line and the column.
func (d *document) addSyntaxError(err error) {
	d.malformed = true
	line, message := 1, err.Error()
	if m := syntaxErrorLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1]) // The pattern matches digits only.
		message = "column " + m[2] + ": " + message[len(m[0]):]
	}
	d.errors = append(d.errors, Error{File: d.file, Line: line, Message: message})
}

// errorf adds an error of the field at path, unless that field or one that encloses it has an error already. The error
// of a missing field gets the line of the nearest enclosing field.
func (d *document) errorf(path, format string, args ...any) {
	line := 0
	for p := path; ; p = parentPath(p) {
		if d.invalidPaths[p] {
			return
		}
		if line == 0 {
			line = d.fieldLines[p]
		}
		if p == "" {
			break
		}
	}
	line = max(line, 1)
	d.invalidPaths[path] = true
	d.errors = append(d.errors, Error{File: d.file, Line: line, Field: path, Message: fmt.Sprintf(format, args...)})
}

// parentPath returns the path of the enclosing object or list; "" for the top level.
func parentPath(p string) string { return p[:max(strings.LastIndexAny(p, ".["), 0)] }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// decode decodes v into to and records the line of the field at path.
func (d *document) decode(v hujson.Value, to reflect.Value, path string) {
	// The index of the first line that starts after the value's start is the value's line, which counts from 1.
	d.fieldLines[path] = sort.SearchInts(d.lineStarts, v.StartOffset+1)
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
		d.errorf(path, "want %s, got an object", expectedType(to))
	case *hujson.Array:
		if to.Kind() != reflect.Slice {
			d.errorf(path, "want %s, got a list", expectedType(to))
			return
		}
		to.Set(reflect.MakeSlice(to.Type(), len(t.Elements), len(t.Elements)))
		for i, e := range t.Elements {
			d.decode(e, to.Index(i), indexPath(path, i))
		}
	}
}

func (d *document) decodeLiteral(lit hujson.Literal, to reflect.Value, path string) {
	if u, ok := to.Addr().Interface().(json.Unmarshaler); ok {
		if err := u.UnmarshalJSON(lit); err != nil {
			d.errorf(path, "%s", err.Error())
		}
		return
	}
	if lit.Kind() == 'n' || json.Unmarshal(lit, to.Addr().Interface()) != nil {
		d.errorf(path, "want %s, got %s", expectedType(to), lit)
	}
}

func (d *document) decodeStruct(o *hujson.Object, to reflect.Value, path string) {
	fields := map[string]reflect.Value{}
	for i := range to.NumField() {
		name, _, _ := strings.Cut(to.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = to.Field(i)
	}
	d.eachMember(o, path, func(name string, v hujson.Value) {
		f, ok := fields[name]
		if !ok {
			d.errorf(joinPath(path, name), "unknown field")
			return
		}
		d.decode(v, f, joinPath(path, name))
	})
}

func (d *document) decodeMap(o *hujson.Object, to reflect.Value, path string) {
	to.Set(reflect.MakeMap(to.Type()))
	d.eachMember(o, path, func(name string, v hujson.Value) {
		e := reflect.New(to.Type().Elem()).Elem()
		d.decode(v, e, joinPath(path, name))
		to.SetMapIndex(reflect.ValueOf(name), e)
	})
}

// eachMember calls f for each member of an object. It adds an error for a name that appears again and skips it.
func (d *document) eachMember(o *hujson.Object, path string, f func(name string, v hujson.Value)) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		lit, _ := m.Name.Value.(hujson.Literal) // JSON has only strings as names.
		name := lit.String()
		p := joinPath(path, name)
		line := sort.SearchInts(d.lineStarts, m.Name.StartOffset+1)
		if seen[name] {
			d.errors = append(d.errors, Error{File: d.file, Line: line, Field: p, Message: "is given twice"})
			continue
		}
		seen[name] = true
		d.fieldLines[p] = line
		f(name, m.Value)
	}
}

// expectedType describes the JSON value that v is decoded from, for error messages.
func expectedType(v reflect.Value) string {
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
