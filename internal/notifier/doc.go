// Package notifier tells entry VMs what a voter holds: the agreed state and the reports of workers. An entry VM keeps one
// watch open; its reply leaves at once when there is something newer.
//
// It shares no thread with the voter's disk, so that a slow sync delays neither reports nor what entry VMs learn of them.
package notifier
