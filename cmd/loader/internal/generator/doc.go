// Package generator offers open-loop load to entry processes, as callers behind the platform's load balancer do.
//
// The one-way delay between callers and entry processes is 3 ms: a call is sent 3 ms after its intended time, and its
// answer counts as received 3 ms after it arrived. The network inside the failure domains is loopback without added
// delay.
package generator
