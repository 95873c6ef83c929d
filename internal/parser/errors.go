package parser

import (
	"sort"
	"strconv"
	"strings"
)

// Error is one error in a settings file or task file.
type Error struct {
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the invalid field, for example "listen.callers" or "tasks[2].timeout"; empty when the error
	// concerns the whole file.
	Field   string
	Message string
}

// Error returns the error as "file:line: field: message".
func (e Error) Error() string {
	s := e.File + ":" + strconv.Itoa(e.Line) + ": "
	if e.Field != "" {
		s += e.Field + ": "
	}
	return s + e.Message
}

// Errors holds every error in one or more files, sorted by file, line and field.
type Errors []Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// errorOrNil sorts e and returns it as an error, or nil when e is empty.
func (e Errors) errorOrNil() error {
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
