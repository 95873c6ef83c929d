// Package modeler plays a load against the decisions of the dispatcher (packages allocator, spreader and divider) in
// virtual time, without a network, and tells what callers get. The same load and seed give the same result.
package modeler
