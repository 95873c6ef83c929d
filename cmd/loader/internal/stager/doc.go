// Package stager sets up a deployment on loopback: entry processes, stand-in servers and the task files in force.
package stager
