// Package recorder holds the records of submissions: which keys were accepted and how the submissions ended.
package recorder
