// Package stager sets up a deployment on loopback: it starts entry processes and stand-in servers, and publishes task
// files.
package stager
