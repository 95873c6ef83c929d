// Package router passes each submission to the dispatcher of this entry VM or relays it to the owner of its home.
package router
