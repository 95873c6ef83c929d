// Package checker runs the fault campaign: real entry processes behind the fault proxy, callers that resubmit, operators
// that race, seeded faults, and checks against the starts that the stand-in servers counted.
package checker
