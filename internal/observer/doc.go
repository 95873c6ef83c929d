// Package observer keeps an entry VM informed: it holds a watch open with every voter that it knows, and takes over the
// newest agreed state and the newest report of each worker. What it holds never goes back.
package observer
