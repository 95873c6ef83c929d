// Package checker runs the fault campaign: entry processes behind the fault proxy, callers that resubmit, operators
// that publish conflicting changes, and faults chosen by a seed. It verifies every answer against the starts that the
// stand-in servers counted.
package checker
