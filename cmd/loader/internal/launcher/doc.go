// Package launcher writes the settings of a deployment on loopback, and starts and kills its entry processes.
package launcher
