// Package divider partitions the workers of a failure domain into cells, so that a domain may have more workers than
// one entry VM can schedule. Each cell has its own owner. All functions are pure and return the same on every VM.
package divider
