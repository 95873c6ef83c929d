// Package measurer runs the ten scenarios of section 1.6 of docs/design.md on real entry processes and writes one JSON
// object for each scenario and policy. Targets come from that section, never from a measured figure.
package measurer
