package listener

import (
	"net/netip"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/acceptor"
	"clementineyard/internal/parser"
	"clementineyard/wire"
)

// Announcement is the JSON body of POST /v1/announcements.
type Announcement struct {
	Name string `json:"name"`
	// Incarnation increases with each start of the server, for example its start time in Unix milliseconds.
	Incarnation uint64 `json:"incarnation"`
	// Kind is "backendServer" or "worker".
	Kind string `json:"kind"`
	// Address is the IP:port at which the server takes tasks.
	Address       string   `json:"address"`
	FailureDomain string   `json:"failureDomain"`
	Services      []string `json:"services"`
	// Slots and Connections are the capacity of a backend server: the tasks it runs and the connections it accepts at
	// the same time.
	Slots       int64 `json:"slots,omitempty"`
	Connections int64 `json:"connections,omitempty"`
	// Cores, Memory and Accelerators are the capacity of a worker.
	Cores        float64      `json:"cores,omitempty"`
	Memory       parser.Bytes `json:"memory,omitempty"`
	Accelerators int64        `json:"accelerators,omitempty"`
	Rack         string       `json:"rack,omitempty"`
	// Running is the number of tasks that are running.
	Running     int64        `json:"running"`
	CoresInUse  float64      `json:"coresInUse,omitempty"`
	MemoryInUse parser.Bytes `json:"memoryInUse,omitempty"`
	// Leaving is true when the server is shutting down and takes no new tasks.
	Leaving           bool  `json:"leaving,omitempty"`
	AcceleratorsInUse int64 `json:"acceleratorsInUse,omitempty"`
}

// AnnouncementAnswer is the JSON body of the answer to an announcement.
type AnnouncementAnswer struct {
	// LeaseMilliseconds is the time after which a server that has not announced itself again counts as lost.
	LeaseMilliseconds int64 `json:"leaseMilliseconds"`
	// AnnounceEveryMilliseconds is the interval at which the server is to announce itself.
	AnnounceEveryMilliseconds int64 `json:"announceEveryMilliseconds"`
}

// ServerAPI serves the HTTP API for backend servers and workers, which announce themselves.
type ServerAPI struct {
	// FailureDomain is this entry VM's failure domain; servers of another one are refused.
	FailureDomain string
	Timing        parser.Timing
	// Announce takes in a valid announcement.
	Announce func(*wire.Announcement)
	// Acceptor decodes large bodies one at a time; it may be nil.
	Acceptor *acceptor.Acceptor
}

// maxServices bounds the services of one announcement.
const maxServices = 1000

// announcementBody is the body of an announcement with a bound on its services.
type announcementBody struct {
	Announcement
	Services boundedList[string] `json:"services"`
}

// Handle serves one HTTP request.
func (s *ServerAPI) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Method()) != fasthttp.MethodPost || string(ctx.Path()) != "/v1/announcements" {
		writeRequestError(ctx, &requestError{
			reason: wire.Reason_REASON_INVALID, status: fasthttp.StatusNotFound,
			field: "path", detail: "only POST /v1/announcements is served here",
		})
		return
	}
	in := announcementBody{Services: boundedList[string]{max: maxServices, field: "services"}}
	if reqErr := decodeLimited(s.Acceptor, ctx.PostBody(), &in); reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	in.Announcement.Services = in.Services.elements
	if reqErr := s.validate(&in.Announcement); reqErr != nil {
		writeRequestError(ctx, reqErr)
		return
	}
	s.Announce(in.toWire())
	writeJSON(ctx, fasthttp.StatusOK, AnnouncementAnswer{
		LeaseMilliseconds:         s.Timing.ServerLease.Milliseconds(),
		AnnounceEveryMilliseconds: s.Timing.AnnounceEvery.Milliseconds(),
	})
}

// validate returns the first invalid field of the announcement, or nil.
func (s *ServerAPI) validate(a *Announcement) *requestError {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Name == "" || len(a.Name) > maxIDBytes:
		return invalidField("name", "must hold 1 to 128 bytes")
	case a.Incarnation == 0:
		return invalidField("incarnation", "must be positive")
	case err != nil || address.Port() == 0:
		return invalidField("address", "must be IP:port")
	case a.FailureDomain != s.FailureDomain:
		return invalidField("failureDomain", "this entry VM serves "+s.FailureDomain)
	case len(a.Services) == 0:
		return invalidField("services", "must name at least one service")
	case a.Kind == "backendServer" && (a.Slots <= 0 || a.Connections < a.Slots):
		return invalidField("slots", "a backend server needs slots, and at least as many connections")
	case a.Kind == "worker" && (a.Cores <= 0 || a.Memory <= 0):
		return invalidField("cores", "a worker needs cores and memory")
	case a.Kind != "backendServer" && a.Kind != "worker":
		return invalidField("kind", `must be "backendServer" or "worker"`)
	case a.Running < 0 || a.CoresInUse < 0 || a.Cores > maxCores || a.CoresInUse > maxCores || a.Accelerators < 0 || a.AcceleratorsInUse < 0:
		return invalidField("running", "counts must not be negative, nor cores above 1000000")
	}
	return nil
}

// toWire converts a valid announcement to the message that entry VMs exchange.
func (a *Announcement) toWire() *wire.Announcement {
	return &wire.Announcement{
		Name: a.Name, Incarnation: a.Incarnation, Worker: a.Kind == "worker", Address: a.Address,
		FailureDomain: a.FailureDomain, Services: a.Services, Slots: a.Slots, Connections: a.Connections,
		Capacity: &wire.Resources{Millicores: int64(a.Cores * 1000), Memory: int64(a.Memory), Accelerators: a.Accelerators},
		Rack:     a.Rack, Running: a.Running, Leaving: a.Leaving,
		Usage: &wire.Resources{Millicores: int64(a.CoresInUse * 1000), Memory: int64(a.MemoryInUse), Accelerators: a.AcceleratorsInUse},
	}
}
