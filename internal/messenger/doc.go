// Package messenger carries batches of protobuf messages between VMs over long-lived yamux streams.
//
// Each direction has two streams, one for control messages and one for relayed work, so that request bodies never delay
// elections, records or configuration. A connection is probed only when nothing has been read from it for a while: a
// short while where a reply is awaited, a long one where it is idle.
package messenger
