// Package storer keeps a voter's identity, log, hard state, commit index and snapshot in its data folder.
//
// The log is a sequence of frames, one for each sync. A frame's header and payload carry their own CRC-32C, so a frame
// that was cut short by a crash differs from one that was damaged after its sync.
package storer
