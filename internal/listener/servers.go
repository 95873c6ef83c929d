package listener

import (
	"net/netip"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/parser"
	"clementineyard/wire"
)

// Announcement is the JSON body of POST /v1/announcements.
type Announcement struct {
	Name string `json:"name"`
	// Incarnation grows with each start of the server, for example its start time in Unix milliseconds.
	Incarnation uint64 `json:"incarnation"`
	// Kind is "backendServer" or "worker".
	Kind string `json:"kind"`
	// Address is the IP:port that takes tasks.
	Address       string       `json:"address"`
	FailureDomain string       `json:"failureDomain"`
	Services      []string     `json:"services"`
	Slots         int64        `json:"slots,omitempty"`
	Connections   int64        `json:"connections,omitempty"`
	Cores         float64      `json:"cores,omitempty"`
	Memory        parser.Bytes `json:"memory,omitempty"`
	Accelerators  int64        `json:"accelerators,omitempty"`
	Rack          string       `json:"rack,omitempty"`
	// Running counts the tasks that run now.
	Running           int64        `json:"running"`
	CoresInUse        float64      `json:"coresInUse,omitempty"`
	MemoryInUse       parser.Bytes `json:"memoryInUse,omitempty"`
	Leaving           bool         `json:"leaving,omitempty"`
	AcceleratorsInUse int64        `json:"acceleratorsInUse,omitempty"`
}

// AnnouncementAnswer tells a server when to announce again.
type AnnouncementAnswer struct {
	LeaseMilliseconds         int64 `json:"leaseMilliseconds"`
	AnnounceEveryMilliseconds int64 `json:"announceEveryMilliseconds"`
}

// Servers is the interface of backend servers and workers.
type Servers struct {
	FailureDomain string
	Timing        parser.Timing
	Announce      func(*wire.Announcement)
}

// Handle serves one HTTP request.
func (s *Servers) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Method()) != fasthttp.MethodPost || string(ctx.Path()) != "/v1/announcements" {
		writeBadInput(ctx, &badInput{
			reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusNotFound,
			field: "path", detail: "only POST /v1/announcements is served here",
		})
		return
	}
	var in Announcement
	if bad := decodeBody(ctx.PostBody(), &in); bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	if bad := s.check(&in); bad != nil {
		writeBadInput(ctx, bad)
		return
	}
	s.Announce(in.message())
	writeJSON(ctx, fasthttp.StatusOK, AnnouncementAnswer{
		LeaseMilliseconds:         s.Timing.ServerLease.Milliseconds(),
		AnnounceEveryMilliseconds: s.Timing.AnnounceEvery.Milliseconds(),
	})
}

func (s *Servers) check(a *Announcement) *badInput {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Name == "" || len(a.Name) > maxIDBytes:
		return invalid("name", "must hold 1 to 128 bytes")
	case a.Incarnation == 0:
		return invalid("incarnation", "must be positive")
	case err != nil || address.Port() == 0:
		return invalid("address", "must be IP:port")
	case a.FailureDomain != s.FailureDomain:
		return invalid("failureDomain", "this entry VM serves "+s.FailureDomain)
	case len(a.Services) == 0:
		return invalid("services", "must name at least one service")
	case a.Kind == "backendServer" && (a.Slots <= 0 || a.Connections < a.Slots):
		return invalid("slots", "a backend server needs slots, and at least as many connections")
	case a.Kind == "worker" && (a.Cores <= 0 || a.Memory <= 0):
		return invalid("cores", "a worker needs cores and memory")
	case a.Kind != "backendServer" && a.Kind != "worker":
		return invalid("kind", `must be "backendServer" or "worker"`)
	case a.Running < 0 || a.CoresInUse < 0 || a.Cores > maxCores || a.CoresInUse > maxCores || a.Accelerators < 0 || a.AcceleratorsInUse < 0:
		return invalid("running", "counts must not be negative, nor cores above 1000000")
	}
	return nil
}

func (a *Announcement) message() *wire.Announcement {
	return &wire.Announcement{
		Name: a.Name, Incarnation: a.Incarnation, Worker: a.Kind == "worker", Address: a.Address,
		FailureDomain: a.FailureDomain, Services: a.Services, Slots: a.Slots, Connections: a.Connections,
		Capacity: &wire.Resources{Millicores: int64(a.Cores * 1000), Memory: int64(a.Memory), Accelerators: a.Accelerators},
		Rack:     a.Rack, Running: a.Running, Leaving: a.Leaving,
		Usage: &wire.Resources{Millicores: int64(a.CoresInUse * 1000), Memory: int64(a.MemoryInUse), Accelerators: a.AcceleratorsInUse},
	}
}
