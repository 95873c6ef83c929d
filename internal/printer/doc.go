// Package printer writes JSON answers of the HTTP APIs as text for operators.
package printer
