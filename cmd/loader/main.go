// Command loader runs entry processes on loopback with stand-in servers and generated load: a demo, the fault campaign,
// and the benchmark with its HTML page. It also plays loads against a model of the dispatcher.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"clementineyard/cmd/loader/internal/measurer"
	"clementineyard/cmd/loader/internal/plotter"
)

func main() {
	flaggy.SetName("clementineyard-loader")
	flaggy.SetDescription("Demo, fault campaign and benchmark with stand-in servers and generated load.")
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Runs an example on a deployment on loopback and kills the entry process that received its job."
	example := "examples/atlas-foulee"
	demo.String(&example, "e", "example", "Folder of the example to run.")
	flaggy.AttachSubcommand(demo, 1)
	faults := flaggy.NewSubcommand("faults")
	faults.Description = "Runs the fault campaign and prints its report as the last line."
	seed, runs := uint64(1), 100
	faults.UInt64(&seed, "s", "seed", "Seed of the campaign.")
	faults.Int(&runs, "r", "runs", "Number of runs.")
	flaggy.AttachSubcommand(faults, 1)
	bench := flaggy.NewSubcommand("bench")
	bench.Description = "Runs the ten scenarios and prints one JSON object for each scenario and policy."
	scenario := ""
	bench.String(&scenario, "", "scenario", "Name of the only scenario to run; all ten without it.")
	bench.UInt64(&seed, "", "seed", "Seed of arrivals and run times.")
	flaggy.AttachSubcommand(bench, 1)
	plot := flaggy.NewSubcommand("plot")
	plot.Description = "Reads the output of bench from standard input and writes a self-contained HTML page."
	flaggy.AttachSubcommand(plot, 1)
	policy := flaggy.NewSubcommand("policy")
	policy.Description = "Plays a load file against the dispatcher's decisions in virtual time, and prints what callers get."
	policyArgs := policyArgs{seed: 1, admission: byPriority, placement: planned}
	policy.String(&policyArgs.load, "l", "load", "Load file, such as deploy/loads/lost-answers.json.")
	policy.UInt64(&policyArgs.seed, "s", "seed", "Seed of arrivals, run times and disruptions.")
	policy.Bool(&policyArgs.json, "j", "json", "Prints one JSON object for each placement, with the worth by second.")
	policy.String(&policyArgs.admission, "a", "admission", "Order and refusals: byPriority, or latestStart as before package admitter.")
	policy.String(&policyArgs.placement, "p", "placement", "planned, best-fit, or both on the same seed.")
	policy.String(&policyArgs.plot, "o", "plot", "File for an HTML page of the waiting times by size; none without it.")
	flaggy.AttachSubcommand(policy, 1)
	flaggy.Parse()
	var err error
	switch {
	case demo.Used:
		err = runDemo(example)
	case faults.Used:
		err = runFaults(seed, runs)
	case bench.Used:
		err = (&measurer.Measurer{Seed: seed, Out: os.Stdout, Progress: os.Stderr}).Run(scenario)
	case policy.Used:
		err = runPolicy(&policyArgs)
	case plot.Used:
		err = plotter.WritePage(os.Stdin, os.Stdout)
	default:
		flaggy.ShowHelpAndExit("name a subcommand")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "clementineyard-loader:", err)
		os.Exit(1)
	}
}
