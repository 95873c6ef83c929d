// Package counter makes the scope in which a process counts, and the page that shows its counts in the usual text format.
package counter
