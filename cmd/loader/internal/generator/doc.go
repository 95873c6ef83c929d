// Package generator offers open-loop load to entry processes, as callers behind the platform's load balancer do.
//
// Callers are 3 ms away: a call is sent 3 ms after its intended time and its answer counts 3 ms after it was received.
// The network inside the failure domains is loopback itself, without added delay.
package generator
