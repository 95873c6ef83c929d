package recoverer_test

import (
	"fmt"
	"io"
	"log/slog"

	"clementineyard/internal/recoverer"
)

func ExampleCall() {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var rows []int
	fmt.Println(recoverer.Call(log, "reading the rows", func() { rows[0]++ }))
	fmt.Println(recoverer.Call(log, "reading the rows", func() { rows = append(rows, 1) }), rows)
	// Output:
	// panic: runtime error: index out of range [0] with length 0
	// <nil> [1]
}
