// Package parser decodes and validates settings files and task files, which are JSON with comments. It reports every
// error of a file with its line.
package parser
