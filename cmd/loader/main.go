// Command loader holds the stand-in servers, the load, the fault proxy, the measurements and the fault campaign.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

func main() {
	flaggy.SetName("clementineyard-loader")
	flaggy.SetDescription("Stand-in servers, load, measurements and fault campaign.")
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Runs the main job on a deployment on loopback."
	example := "examples/atlas-foulee"
	demo.String(&example, "e", "example", "Folder of the example to run.")
	flaggy.AttachSubcommand(demo, 1)
	flaggy.Parse()
	var err error
	switch {
	case demo.Used:
		err = runDemo(example)
	default:
		flaggy.ShowHelpAndExit("name a subcommand")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "clementineyard-loader:", err)
		os.Exit(1)
	}
}
