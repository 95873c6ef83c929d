// Package requester is an HTTP client for the operators' and callers' listeners of an entry VM.
package requester
