// Package waiter waits more precisely than the runtime's timers, whose wait in epoll is rounded up to a whole
// millisecond: three such waits in a request would add several per cent to a task of 50 ms.
package waiter
