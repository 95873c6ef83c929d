// Package messenger carries batches of protobuf messages between entry VMs over yamux streams that stay open.
//
// Each direction has two streams, one for control and one for relayed work, so that bodies never delay elections,
// records or configuration. Connections are probed only where nothing was read from them while somebody waits, or for long.
package messenger
