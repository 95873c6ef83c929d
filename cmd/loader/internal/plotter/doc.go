// Package plotter renders the JSON lines of a benchmark as one self-contained HTML page.
package plotter
