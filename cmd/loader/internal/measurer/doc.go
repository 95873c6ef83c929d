// Package measurer benchmarks entry processes with the ten scenarios of section 1.6 of docs/design.md and writes one
// JSON object for each scenario and policy. The targets come from that section, never from a measured figure.
package measurer
