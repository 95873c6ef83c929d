// Package listener serves callers, servers and operators over HTTP with fasthttp.
package listener
