package printer_test

import (
	"fmt"
	"os"

	"clementineyard/internal/printer"
)

// A row that lacks a field, or has one that other rows lack, must not cause an error or shift a column.
func ExamplePrint() {
	err := printer.Print(os.Stdout, []byte(`{"name": "casa-a-1", "epoch": 12, "voters": ["a", "b"],
		"entryVMs": [{"name": "casa-a-2", "ready": true}, {"name": "rabat\u001b-1", "owner": "x", "extra": {"n": 1}}]}`))
	fmt.Println(err)
	fmt.Println(printer.Print(os.Stdout, []byte(`[]`)))
	// Output:
	// name:    casa-a-1
	// epoch:   12
	// voters:  a, b
	//
	// entryVMs:
	// name      ready  owner  extra
	// casa-a-2  true
	// rabat?-1         x      {"n":1}
	// <nil>
	// no entries
	// <nil>
}
