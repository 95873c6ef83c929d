package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/modeler"
	"clementineyard/internal/parser"
)

// runPolicy plays the load file at path and prints the result.
func runPolicy(path string, seed uint64, asJSON bool) error {
	if path == "" {
		return eris.New("policy: --load names no load file")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read load")
	}
	load, err := parser.ParseLoad(path, b)
	if err != nil {
		return err
	}
	result := modeler.New(modeler.Config{Load: load, Seed: seed}).Play()
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	return printResult(result)
}

func printResult(r *modeler.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "queue\toffered\tin objective\tlate\trefused\tgiven up\tfailed\tp50 ms\tp99 ms\trefused p50 ms\tp99 ms\t")
	for _, q := range r.Queues {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			q.Name, q.Offered, q.InObjective, q.Late, q.Refused, q.GivenUp, q.Failed, q.P50, q.P99, q.RefusedP50, q.RefusedP99)
	}
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "print result")
	}
	_, err := fmt.Printf("worth %.4f, at most %.4f; worst second %.3f; %d starts, %.1f core-seconds wasted\n", r.Worth, r.Bound, r.WorstSecond, r.Starts, r.WastedCoreSeconds)
	return err
}
