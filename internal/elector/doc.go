// Package elector elects the member of a group that owns the group's failure domain, and maintains its lease.
package elector
