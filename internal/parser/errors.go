package parser

import (
	"sort"
	"strconv"
	"strings"
)

// Error is one fault of a settings file or task file.
type Error struct {
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field at fault, for example "listen.callers" or "tasks[2].timeout"; empty when the file
	// as a whole is at fault.
	Field   string
	Message string
}

// Error writes the fault as "file:line: field: message".
func (e Error) Error() string {
	s := e.File + ":" + strconv.Itoa(e.Line) + ": "
	if e.Field != "" {
		s += e.Field + ": "
	}
	return s + e.Message
}

// Errors holds every fault of one or more files, sorted by file, line and field.
type Errors []Error

// Error writes one fault per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// orNil returns the sorted faults as an error, or nil when there are none.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	sort.SliceStable(e, func(i, j int) bool {
		a, b := e[i], e[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Field < b.Field
	})
	return e
}
