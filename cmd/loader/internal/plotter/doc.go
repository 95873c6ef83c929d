// Package plotter draws the lines of a measurement as one self-contained HTML page.
package plotter
