// Package flooder tests what hostile clients can make a process hold. It starts cmd/node and cmd/entry on loopback addresses with
// lowered limits, opens connections that stop just short of the end of a legal request, or that send whole ones which take far more
// than their bytes, and checks the memory and the descriptors of the process.
package flooder
