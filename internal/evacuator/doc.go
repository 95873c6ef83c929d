// Package evacuator records which failure domains of a fleet are evacuated, so that their workers get no starts.
//
// It is a pure state machine without goroutines, clocks or I/O. The voters apply the operators' orders to it in the order of
// their log, and entry VMs adopt what the voters state. It addresses the load of an evacuation: the work of a whole failure
// domain moves to the others, and must not move back because an order arrives late or repeatedly.
package evacuator
