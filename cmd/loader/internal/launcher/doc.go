// Package launcher writes the settings of a deployment on loopback and starts its entry processes.
package launcher
