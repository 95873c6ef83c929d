// Command fleet3 plays one case of the review: it starts a small deployment of the system's own processes on loopback addresses,
// with stand-ins for clients, runners and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	program := flag.String("program", "target/node", "program of the deploy file")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	folder := flag.String("folder", "", "folder for the processes' files")
	flag.Parse()
	os.Exit(play(*name, *trouble, *program, *recordPath, *folder))
}

// play returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func play(name string, trouble bool, program, recordPath, folder string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	f, err := newFleet(program, folder, record, c.withLinks)
	if f != nil {
		defer f.stop()
	}
	if err == nil {
		if err = f.configure(1, route(c.timeout)); err == nil {
			err = f.warmUp()
		}
	}
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	broken, err := c.run(f, trouble)
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for _, b := range broken {
		record.printf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	record.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
