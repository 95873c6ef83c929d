// Package parser reads settings files and task files, which are JSON with comments, and checks them as a whole.
package parser
