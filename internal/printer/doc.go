// Package printer writes JSON answers of the system as text for people.
package printer
