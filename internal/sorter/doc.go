// Package sorter implements a binary heap that reports the index of each item, so that an item can be reordered or
// removed.
package sorter
