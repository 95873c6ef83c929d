// Package divider divides the workers of a failure domain into cells, so that a domain may have more workers than one
// entry VM can decide on. Each cell has an owner of its own. All functions are pure and give the same on every VM.
package divider
