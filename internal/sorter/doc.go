// Package sorter keeps items in a binary heap whose items know their place, so that one can be moved or removed.
package sorter
