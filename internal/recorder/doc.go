// Package recorder keeps submission records: which keys were accepted, and what became of them.
package recorder
