package parser

import (
	"net/netip"
	"slices"
	"strconv"
)

// minGroupSize is the size of the smallest group that keeps a majority after the loss of one member.
const minGroupSize = 3

var (
	logLevels  = []string{"", "debug", "info", "warn", "error"}
	logFormats = []string{"", "text", "json"}
	policies   = []string{"", PolicyDefault, PolicyBaseline, PolicyLastReport, PolicySmoothedReport}
)

// checkSettings checks the values of decoded settings and the rules between fields. The defaults must have been set.
func (d *document) checkSettings(s *Settings) {
	d.checkName("name", s.Name)
	d.checkName("failureDomain", s.FailureDomain)
	d.checkEntryVMs(s)
	d.checkListen(s)
	d.checkGroups(s)
	d.checkVoters(s)
	d.checkTokens(s)
	d.checkTiming(s.Timing)
	d.checkLimits(s.Limits)
	d.checkOneOf("log.level", s.Log.Level, logLevels)
	d.checkOneOf("log.format", s.Log.Format, logFormats)
	d.checkOneOf("policy", s.Policy, policies)
}

func (d *document) checkName(path, name string) {
	switch {
	case name == "":
		d.errorf(path, "must be given")
	case !namePattern.MatchString(name):
		d.errorf(path, "%q must be 1 to 64 letters, digits, _ or -, and start with a letter", name)
	}
}

// checkOneOf reports a value that is not among the allowed ones, the first of which is "", the default.
func (d *document) checkOneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		d.errorf(path, "unknown word %q, want one of %q", value, allowed[1:])
	}
}

func (d *document) checkEntryVMs(s *Settings) {
	if len(s.EntryVMs) == 0 {
		d.errorf("entryVMs", "must list every entry VM, this one included")
		return
	}
	names, addresses := map[string]bool{}, map[string]string{}
	for i, v := range s.EntryVMs {
		path := indexPath("entryVMs", i)
		d.checkName(path+".name", v.Name)
		d.checkName(path+".failureDomain", v.FailureDomain)
		if names[v.Name] {
			d.errorf(path+".name", "%q is listed twice", v.Name)
		}
		names[v.Name] = true
		a, ok := d.checkAddress(path+".peers", v.Peers)
		if !ok {
			continue
		}
		if a.Addr().IsUnspecified() {
			d.errorf(path+".peers", "%s cannot be reached by the others", v.Peers)
		}
		if other, ok := addresses[a.String()]; ok {
			d.errorf(path+".peers", "%s clashes with %s", v.Peers, other)
		}
		addresses[a.String()] = path + ".peers"
	}
	self := slices.IndexFunc(s.EntryVMs, func(v EntryVM) bool { return v.Name == s.Name })
	switch {
	case self < 0 && s.Name != "":
		d.errorf("name", "%q is not among entryVMs", s.Name)
	case self < 0 || s.EntryVMs[self].FailureDomain == s.FailureDomain:
	case !slices.ContainsFunc(s.EntryVMs, func(v EntryVM) bool { return v.FailureDomain == s.FailureDomain }):
		d.errorf("failureDomain", "%q is unknown: no entry VM is in it", s.FailureDomain)
	default:
		d.errorf("failureDomain", "%q differs from %q in %s", s.FailureDomain, s.EntryVMs[self].FailureDomain, indexPath("entryVMs", self))
	}
}

// checkAddress parses an IPv4 address with a port, which is what the listeners bind. It reports whether it is valid.
func (d *document) checkAddress(path, address string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		d.errorf(path, "want IP:port with an IPv4 address and a port above 0, got %q", address)
		return a, false
	}
	return a, true
}

// checkListen reports listen addresses that conflict with each other or with an address in entryVMs.
func (d *document) checkListen(s *Settings) {
	type listenAddress struct {
		path string
		addr netip.AddrPort
	}
	var checked []listenAddress
	for _, l := range []struct{ path, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.servers", s.Listen.Servers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
	} {
		a, ok := d.checkAddress(l.path, l.address)
		if !ok {
			continue
		}
		for _, b := range checked {
			if conflicting(a, b.addr) {
				d.errorf(l.path, "%s clashes with %s", l.address, b.path)
			}
		}
		checked = append(checked, listenAddress{l.path, a})
		for i, v := range s.EntryVMs {
			// This entry VM's own entry normally repeats listen.peers.
			if v.Peers == l.address && (v.Name != s.Name || l.path != "listen.peers") {
				d.errorf(l.path, "%s clashes with %s.peers", l.address, indexPath("entryVMs", i))
			}
		}
	}
}

// conflicting reports whether one process cannot bind both addresses.
func conflicting(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (d *document) checkGroups(s *Settings) {
	domainByVM := map[string]string{}
	for _, v := range s.EntryVMs {
		domainByVM[v.Name] = v.FailureDomain
	}
	groups := map[string]bool{}
	for i, g := range s.Groups {
		path := indexPath("groups", i)
		if groups[g.FailureDomain] {
			d.errorf(path+".failureDomain", "%q has a group already", g.FailureDomain)
		}
		groups[g.FailureDomain] = true
		d.checkGroup(path, g, s, domainByVM)
	}
	for _, v := range s.EntryVMs {
		if !groups[v.FailureDomain] && v.FailureDomain != "" {
			groups[v.FailureDomain] = true
			if len(s.Groups) == 0 {
				d.errorf("groups", "must name a group for each failure domain")
				return
			}
			d.errors = append(d.errors, Error{
				File: d.file, Line: max(d.fieldLines["groups"], 1), Field: "groups",
				Message: "failure domain " + strconv.Quote(v.FailureDomain) + " has no group",
			})
		}
	}
}

func (d *document) checkGroup(path string, g Group, s *Settings, domainByVM map[string]string) {
	if !slices.ContainsFunc(s.EntryVMs, func(v EntryVM) bool { return v.FailureDomain == g.FailureDomain }) {
		d.errorf(path+".failureDomain", "%q is unknown: no entry VM is in it", g.FailureDomain)
	}
	seen := map[string]bool{}
	for i, m := range g.Members {
		p := indexPath(path+".members", i)
		if _, ok := domainByVM[m]; !ok {
			d.errorf(p, "%q is not among entryVMs", m)
		}
		if seen[m] {
			d.errorf(p, "%q is listed twice", m)
		}
		seen[m] = true
	}
	// An entry VM that is not in the group of its own failure domain lacks the records to decide on submissions.
	for _, v := range s.EntryVMs {
		if v.FailureDomain == g.FailureDomain && !seen[v.Name] {
			d.errorf(path+".members", "%q is in failure domain %s and must be a member", v.Name, g.FailureDomain)
		}
	}
	if len(s.EntryVMs) > 1 && len(seen) < minGroupSize {
		d.errorf(path+".members", "want at least %d members, got %d", minGroupSize, len(seen))
	}
}

func (d *document) checkVoters(s *Settings) {
	seen := map[string]bool{}
	for i, name := range s.Voters {
		p := indexPath("voters", i)
		if !slices.ContainsFunc(s.EntryVMs, func(v EntryVM) bool { return v.Name == name }) {
			d.errorf(p, "%q is not among entryVMs", name)
		}
		if seen[name] {
			d.errorf(p, "%q is listed twice", name)
		}
		seen[name] = true
	}
	if len(s.Voters)%2 == 0 {
		d.errorf("voters", "want an odd number of voters, got %d", len(s.Voters))
	}
	if seen[s.Name] && s.DataFolder == "" {
		d.errorf("dataFolder", "must be given: %q is a voter", s.Name)
	}
}

func (d *document) checkTokens(s *Settings) {
	a, err := netip.ParseAddrPort(s.Listen.Operators)
	if err == nil && !a.Addr().IsLoopback() && s.OperatorTokenFile == "" {
		d.errorf("operatorTokenFile", "must be given: listen.operators %s is not on loopback", s.Listen.Operators)
	}
	if len(s.EntryVMs) > 1 && s.PeerTokenFile == "" {
		d.errorf("peerTokenFile", "must be given: there are several entry VMs")
	}
}

func (d *document) checkTiming(t Timing) {
	for _, f := range []struct {
		name  string
		value Duration
	}{
		{"ownerLease", t.OwnerLease},
		{"renewEvery", t.RenewEvery},
		{"serverLease", t.ServerLease},
		{"announceEvery", t.AnnounceEvery},
		{"electionTimeout", t.ElectionTimeout},
		{"pingEvery", t.PingEvery},
		{"retention", t.Retention},
		{"balancerNotice", t.ShutdownDelay},
		{"stopDeadline", t.StopTimeout},
	} {
		if f.value.Duration < 0 {
			d.errorf("timing."+f.name, "must not be negative, got %s", f.value)
		}
	}
	// A lease no longer than its renewal interval expires even when nothing fails.
	if t.RenewEvery.Duration >= t.OwnerLease.Duration {
		d.errorf("timing.renewEvery", "%s must be shorter than ownerLease, %s", t.RenewEvery, t.OwnerLease)
	}
	if t.AnnounceEvery.Duration >= t.ServerLease.Duration {
		d.errorf("timing.announceEvery", "%s must be shorter than serverLease, %s", t.AnnounceEvery, t.ServerLease)
	}
}

func (d *document) checkLimits(l Limits) {
	if l.StallTime.Duration < 0 {
		d.errorf("limits.stallTime", "must not be negative, got %s", l.StallTime)
	}
	// The buffer of the largest body is held beside the one of half its size that it grew from.
	if least := 2 * (l.BodyBytes + l.HeaderBytes); l.RequestMemory != 0 && int64(l.RequestMemory) < int64(least) {
		d.errorf("limits.requestMemory", "must be at least twice bodyBytes and headerBytes together, %d bytes, got %d", least, l.RequestMemory)
	}
	for _, f := range []struct {
		name  string
		value int
	}{
		{"bodyBytes", l.BodyBytes},
		{"headerBytes", l.HeaderBytes},
		{"tasksPerJob", l.TasksPerJob},
		{"connections", l.Connections},
	} {
		if f.value < 0 {
			d.errorf("limits."+f.name, "must not be negative, got %d", f.value)
		}
	}
}
