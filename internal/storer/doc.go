// Package storer stores a voter's identity, log, hard state, commit index and snapshot in its data folder.
//
// The log is a write-ahead log of frames, one for each sync. The header and the payload of a frame have a CRC-32C each,
// so that a frame truncated by a crash can be told from one that was damaged after its sync.
package storer
