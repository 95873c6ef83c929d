package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/modeler"
	"clementineyard/cmd/loader/internal/plotter"
	"clementineyard/internal/admitter"
	"clementineyard/internal/parser"
)

// The placements that runPolicy plays.
const (
	planned = "planned"
	bestFit = "best-fit"
	both    = "both"
)

// The admissions that runPolicy plays.
const (
	byPriority  = "byPriority"
	latestStart = "latestStart"
)

// policyArgs are the arguments of the subcommand policy.
type policyArgs struct {
	load string
	seed uint64
	json bool
	// admission is byPriority or latestStart.
	admission string
	// placement is planned, bestFit or both.
	placement string
	// plot is the file for the page of waiting times; empty for none.
	plot string
}

// runPolicy plays the load file and prints the result, of each placement in turn.
func runPolicy(args *policyArgs) error {
	if args.load == "" {
		return eris.New("policy: --load names no load file")
	}
	placements := []string{args.placement}
	switch {
	case args.placement == both:
		placements = []string{bestFit, planned}
	case !slices.Contains([]string{planned, bestFit}, args.placement):
		return eris.Errorf("policy: --placement is %q, want %s, %s or %s", args.placement, planned, bestFit, both)
	}
	b, err := os.ReadFile(args.load)
	if err != nil {
		return eris.Wrap(err, "read load")
	}
	load, err := parser.ParseLoad(args.load, b)
	if err != nil {
		return err
	}
	cfg := admitter.DefaultConfig()
	switch args.admission {
	case byPriority:
	case latestStart:
		cfg.Policy = admitter.LatestStart
	default:
		return eris.Errorf("policy: --admission is %q, want %s or %s", args.admission, byPriority, latestStart)
	}
	var waits []plotter.Wait
	for _, p := range placements {
		result := modeler.New(modeler.Config{Load: load, Seed: args.seed, Admission: cfg, BestFitOnly: p == bestFit}).Play()
		waits = append(waits, waitsOf(p, result)...)
		if args.json {
			if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
				return eris.Wrap(err, "print result")
			}
			continue
		}
		if len(placements) > 1 {
			fmt.Printf("placement %s:\n", p)
		}
		if err := printResult(result); err != nil {
			return err
		}
	}
	if args.plot == "" {
		return nil
	}
	return writeWaits(args, waits)
}

func waitsOf(placement string, r *modeler.Result) []plotter.Wait {
	var out []plotter.Wait
	for _, s := range r.Sizes {
		out = append(out, plotter.Wait{
			Placement: placement, Queue: s.Queue, From: s.From, To: s.To, Offered: s.Offered, InObjective: s.InObjective, P50: s.WaitP50, P90: s.WaitP90, P99: s.WaitP99,
		})
	}
	return out
}

// writeWaits writes the page of waiting times, with the placements of each queue and size side by side.
func writeWaits(args *policyArgs, waits []plotter.Wait) error {
	if len(waits) == 0 {
		return eris.New("policy: --plot needs a load with a queue whose tasks differ in size")
	}
	queues := map[string]int{}
	for _, w := range waits {
		if _, ok := queues[w.Queue]; !ok {
			queues[w.Queue] = len(queues)
		}
	}
	slices.SortStableFunc(waits, func(a, b plotter.Wait) int {
		if c := queues[a.Queue] - queues[b.Queue]; c != 0 {
			return c
		}
		return int(1000 * (a.From - b.From))
	})
	f, err := os.Create(args.plot)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if err := plotter.WriteWaitPage(plotter.WaitPage{Title: fmt.Sprintf("Waiting times of %s, seed %d", args.load, args.seed), Waits: waits}, f); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "write plot")
	}
	return eris.Wrap(f.Close(), "write plot")
}

func printResult(r *modeler.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "queue\toffered\tin objective\tlate\trefused\tgiven up\tfailed\tp50 ms\tp99 ms\trefused p50 ms\tp99 ms\t")
	for _, q := range r.Queues {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			q.Name, q.Offered, q.InObjective, q.Late, q.Refused, q.GivenUp, q.Failed, q.P50, q.P99, q.RefusedP50, q.RefusedP99)
	}
	if len(r.Sizes) > 0 {
		_, _ = fmt.Fprintln(w, "queue\tsize from\tto\toffered\tin objective\trefused\twait p50 ms\tp90 ms\tp99 ms\t")
	}
	for _, s := range r.Sizes {
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%d\t%.4f\t%.4f\t%.1f\t%.1f\t%.1f\t\n", s.Queue, s.From, s.To, s.Offered, s.InObjective, s.Refused, s.WaitP50, s.WaitP90, s.WaitP99)
	}
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "print result")
	}
	for _, d := range r.Domains {
		if _, err := fmt.Printf("%s: %d offered, %.4f in objective, worth %.4f\n", d.Name, d.Offered, d.InObjective, d.Worth); err != nil {
			return eris.Wrap(err, "print result")
		}
	}
	_, err := fmt.Printf("in objective %.4f; worth %.4f, at most %.4f; worst second %.3f; %d starts, %.1f core-seconds wasted\n", r.InObjective, r.Worth, r.Bound, r.WorstSecond, r.Starts, r.WastedCoreSeconds)
	return err
}
