// Package waiter provides waits that are more precise than the runtime's timers, whose wait in epoll is rounded up to a
// whole millisecond: three such waits in a request would add several percent to a task of 50 ms.
package waiter
