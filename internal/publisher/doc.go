// Package publisher collects task files, checks them together and compares them with the configuration in force.
package publisher
