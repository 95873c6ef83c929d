// Package router decides whether a submission is dispatched by this entry VM or relayed to the owner of its home.
package router
