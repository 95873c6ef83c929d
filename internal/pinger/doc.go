// Package pinger carries authenticated datagrams between entry VMs: pings and the messages of the elector.
//
// gnet receives them; its callback only decodes and puts the message into a bounded ring, so it never blocks.
package pinger
