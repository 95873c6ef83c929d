// Package spreader chooses the cells to which an entry VM offers a job whose home cell has no room. It answers a load that
// is uneven over the cells, as jobs have home cells by their ids, and over the failure domains.
//
// It is a deterministic state machine without goroutines, clocks or I/O.
package spreader
