// Package publisher collects task files, checks them together and computes their difference from the configuration in
// force.
package publisher
