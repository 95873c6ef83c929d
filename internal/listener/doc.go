// Package listener implements the HTTP APIs for callers, for backend servers and workers, and for operators, with
// fasthttp.
package listener
