// Package observer keeps an entry VM up to date: it keeps a watch open with every known voter, and adopts the newest
// agreed state and the newest report of each worker. It never returns to an older state or report.
package observer
