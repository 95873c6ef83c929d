// Command clementineyard is the command-line tool for operators: it checks and publishes task files, submits jobs and
// shows the state of the system.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// exitFailure is the exit code of a failed command. The submit command has exit codes of its own, see
// requester.Result.
const exitFailure = 1

// command is one subcommand; run returns the exit code.
type command struct {
	sub *flaggy.Subcommand
	run func() (int, error)
}

func main() {
	flaggy.SetName("clementineyard")
	flaggy.SetDescription("Checks and publishes task files, submits jobs and shows the state of the system.")
	flaggy.SetVersion("development")
	commands := []command{newCheck(), newPublish(), newEvacuate(), newStatus(), newAudit(), newSubmit(), newExplain()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		code, err := c.run()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(code)
	}
	flaggy.ShowHelpAndExit("Name a subcommand.")
}
