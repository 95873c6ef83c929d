// Package pinger carries authenticated datagrams between entry VMs: pings and the messages of the elector.
//
// gnet receives the datagrams. Its callback only decodes a message and puts it into a bounded queue, so it never blocks.
package pinger
