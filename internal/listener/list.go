package listener

import (
	"bytes"
	"encoding/json"
	"strconv"

	"clementineyard/internal/acceptor"
)

// boundedList is a list in a request's body. It keeps no element beyond max, as short elements take far more memory than their
// bytes.
type boundedList[T any] struct {
	elements []T
	max      int
	// field is the name of the list in the error that a longer one gets.
	field string
}

// UnmarshalJSON decodes a list; null is an empty one.
func (l *boundedList[T]) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if start, err := d.Token(); err != nil || start != json.Delim('[') {
		return invalidField(l.field, "must be a list")
	}
	l.elements = nil
	var excess json.RawMessage
	n := 0
	for ; d.More(); n++ {
		if n >= l.max {
			if err := d.Decode(&excess); err != nil {
				return err
			}
			continue
		}
		var element T
		if err := d.Decode(&element); err != nil {
			return err
		}
		l.elements = append(l.elements, element)
	}
	if n > l.max {
		return invalidField(l.field, "must hold at most "+strconv.Itoa(l.max)+" elements, got "+strconv.Itoa(n))
	}
	return nil
}

// decodeLimited is decodeBody, for large bodies one at a time.
func decodeLimited(a *acceptor.Acceptor, b []byte, v any) (reqErr *requestError) {
	a.Decode(len(b), func() { reqErr = decodeBody(b, v) })
	return reqErr
}

// jobBody is the body of a job with a bound on its tasks.
type jobBody struct {
	Job
	Tasks boundedList[JobTask] `json:"tasks"`
}

// decodeJob decodes the body of a job of at most maxTasks tasks as decodeLimited does.
func decodeJob(a *acceptor.Acceptor, b []byte, maxTasks int) (*Job, *requestError) {
	in := jobBody{Tasks: boundedList[JobTask]{max: maxTasks, field: "tasks"}}
	if reqErr := decodeLimited(a, b, &in); reqErr != nil {
		return nil, reqErr
	}
	in.Job.Tasks = in.Tasks.elements
	return &in.Job, nil
}
