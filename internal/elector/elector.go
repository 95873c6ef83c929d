package elector

import (
	"time"

	"clementineyard/wire"
)

// Member is one entry VM of a group.
type Member struct {
	Name string
	// Witness members store and vote but never own.
	Witness bool
}

// Config constructs an Elector.
type Config struct {
	Name        string
	Group       string
	Members     []Member
	Incarnation uint64
	// Started is when this process started; it does not vote before one lease has passed.
	Started time.Time
	Lease   time.Duration
	Renew   time.Duration
	Seed    uint64
}

// Elector is an aggregate without goroutines, clocks or I/O. It is not safe for concurrent use.
type Elector struct{ cfg Config }

// Ownership is what an Elector knows.
type Ownership struct {
	// Owner is empty while none is known.
	Owner string
	Epoch uint64
	// Held is true on the owner itself while its lease lasts.
	Held bool
}

// New returns an Elector that knows no owner.
func New(cfg Config) *Elector { return &Elector{cfg: cfg} }

// Tick returns the messages that are due.
func (e *Elector) Tick(time.Time) []*wire.ElectorMessage { return nil }

// Step handles a message and returns the replies.
func (e *Elector) Step(time.Time, *wire.ElectorMessage) []*wire.ElectorMessage { return nil }

// Ownership tells who owns the failure domain.
func (e *Elector) Ownership(time.Time) Ownership {
	for _, m := range e.cfg.Members {
		if !m.Witness {
			return Ownership{Owner: m.Name, Epoch: 1, Held: m.Name == e.cfg.Name}
		}
	}
	return Ownership{}
}
