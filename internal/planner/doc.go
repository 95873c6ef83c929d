// Package planner decides which waiting tasks of a cell start now, and on which workers, where tasks are so large that they
// compete for whole workers. It looks ahead: for tasks that find no room it reserves the worker that is expected to have room
// first, and lets later tasks use that worker only if they do not delay the reservation.
//
// It addresses tasks of about half a worker, of which only some pairs fit on one worker, and large tasks that wait while small
// ones take each gap. It is a pure function without state, clocks or I/O. Each pass plans anew from what runs, so a prediction
// that was wrong is dropped in the next pass.
package planner
