package parser

import (
	"net/netip"
	"slices"
	"strconv"
)

// minGroup is the smallest group that keeps a majority after the loss of one member.
const minGroup = 3

var (
	logLevels  = []string{"", "debug", "info", "warn", "error"}
	logFormats = []string{"", "text", "json"}
	policies   = []string{"", PolicyDefault, PolicyBaseline, PolicyLastReport, PolicySmoothedReport}
)

// checkSettings checks what a single field cannot show.
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
	d.checkWord("log.level", s.Log.Level, logLevels)
	d.checkWord("log.format", s.Log.Format, logFormats)
	d.checkWord("policy", s.Policy, policies)
}

func (d *document) checkName(path, name string) {
	switch {
	case name == "":
		d.addf(path, "must be given")
	case !namePattern.MatchString(name):
		d.addf(path, "%q must be 1 to 64 letters, digits, _ or -, and start with a letter", name)
	}
}

// checkWord reports a word that is not in the list; the list's first entry is the empty default.
func (d *document) checkWord(path, word string, words []string) {
	if !slices.Contains(words, word) {
		d.addf(path, "unknown word %q, want one of %q", word, words[1:])
	}
}

func (d *document) checkEntryVMs(s *Settings) {
	if len(s.EntryVMs) == 0 {
		d.addf("entryVMs", "must list every entry VM, this one included")
		return
	}
	names, addresses := map[string]bool{}, map[string]string{}
	for i, v := range s.EntryVMs {
		path := index("entryVMs", i)
		d.checkName(path+".name", v.Name)
		d.checkName(path+".failureDomain", v.FailureDomain)
		if names[v.Name] {
			d.addf(path+".name", "%q is listed twice", v.Name)
		}
		names[v.Name] = true
		a, ok := d.checkAddress(path+".peers", v.Peers)
		if !ok {
			continue
		}
		if a.Addr().IsUnspecified() {
			d.addf(path+".peers", "%s cannot be reached by the others", v.Peers)
		}
		if other, ok := addresses[a.String()]; ok {
			d.addf(path+".peers", "%s clashes with %s", v.Peers, other)
		}
		addresses[a.String()] = path + ".peers"
	}
	self := slices.IndexFunc(s.EntryVMs, func(v EntryVM) bool { return v.Name == s.Name })
	switch {
	case self < 0 && s.Name != "":
		d.addf("name", "%q is not among entryVMs", s.Name)
	case self < 0 || s.EntryVMs[self].FailureDomain == s.FailureDomain:
	case !slices.ContainsFunc(s.EntryVMs, func(v EntryVM) bool { return v.FailureDomain == s.FailureDomain }):
		d.addf("failureDomain", "%q is unknown: no entry VM stands in it", s.FailureDomain)
	default:
		d.addf("failureDomain", "%q differs from %q in %s", s.FailureDomain, s.EntryVMs[self].FailureDomain, index("entryVMs", self))
	}
}

// checkAddress reads an IPv4 address with a port, which is what the listeners bind.
func (d *document) checkAddress(path, address string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		d.addf(path, "want IP:port with an IPv4 address and a port above 0, got %q", address)
		return a, false
	}
	return a, true
}

// checkListen reports addresses of this process that clash with each other or with another entry VM's.
func (d *document) checkListen(s *Settings) {
	type bound struct {
		path string
		addr netip.AddrPort
	}
	var seen []bound
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
		for _, b := range seen {
			if overlap(a, b.addr) {
				d.addf(l.path, "%s clashes with %s", l.address, b.path)
			}
		}
		seen = append(seen, bound{l.path, a})
		for i, v := range s.EntryVMs {
			// The own entry may show the own peers' address.
			if v.Peers == l.address && (v.Name != s.Name || l.path != "listen.peers") {
				d.addf(l.path, "%s clashes with %s.peers", l.address, index("entryVMs", i))
			}
		}
	}
}

// overlap reports whether two addresses of one process cannot both be bound.
func overlap(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (d *document) checkGroups(s *Settings) {
	domains := map[string]string{}
	for _, v := range s.EntryVMs {
		domains[v.Name] = v.FailureDomain
	}
	groups := map[string]bool{}
	for i, g := range s.Groups {
		path := index("groups", i)
		if groups[g.FailureDomain] {
			d.addf(path+".failureDomain", "%q has a group already", g.FailureDomain)
		}
		groups[g.FailureDomain] = true
		d.checkGroup(path, g, s, domains)
	}
	for _, v := range s.EntryVMs {
		if !groups[v.FailureDomain] && v.FailureDomain != "" {
			groups[v.FailureDomain] = true
			if len(s.Groups) == 0 {
				d.addf("groups", "must name a group for each failure domain")
				return
			}
			d.errors = append(d.errors, Error{
				File: d.file, Line: max(d.lines["groups"], 1), Field: "groups",
				Message: "failure domain " + strconv.Quote(v.FailureDomain) + " has no group",
			})
		}
	}
}

func (d *document) checkGroup(path string, g Group, s *Settings, domains map[string]string) {
	if !slices.ContainsFunc(s.EntryVMs, func(v EntryVM) bool { return v.FailureDomain == g.FailureDomain }) {
		d.addf(path+".failureDomain", "%q is unknown: no entry VM stands in it", g.FailureDomain)
	}
	seen := map[string]bool{}
	for i, m := range g.Members {
		p := index(path+".members", i)
		if _, ok := domains[m]; !ok {
			d.addf(p, "%q is not among entryVMs", m)
		}
		if seen[m] {
			d.addf(p, "%q is listed twice", m)
		}
		seen[m] = true
	}
	// An entry VM outside its own domain's group has no records to decide on submissions with.
	for _, v := range s.EntryVMs {
		if v.FailureDomain == g.FailureDomain && !seen[v.Name] {
			d.addf(path+".members", "%q stands in %s and must be a member", v.Name, g.FailureDomain)
		}
	}
	if len(s.EntryVMs) > 1 && len(seen) < minGroup {
		d.addf(path+".members", "want at least %d members, got %d", minGroup, len(seen))
	}
}

func (d *document) checkVoters(s *Settings) {
	seen := map[string]bool{}
	for i, name := range s.Voters {
		p := index("voters", i)
		if !slices.ContainsFunc(s.EntryVMs, func(v EntryVM) bool { return v.Name == name }) {
			d.addf(p, "%q is not among entryVMs", name)
		}
		if seen[name] {
			d.addf(p, "%q is listed twice", name)
		}
		seen[name] = true
	}
	if len(s.Voters)%2 == 0 {
		d.addf("voters", "want an odd number of voters, got %d", len(s.Voters))
	}
	if seen[s.Name] && s.DataFolder == "" {
		d.addf("dataFolder", "must be given: %q is a voter", s.Name)
	}
}

func (d *document) checkTokens(s *Settings) {
	a, err := netip.ParseAddrPort(s.Listen.Operators)
	if err == nil && !a.Addr().IsLoopback() && s.OperatorTokenFile == "" {
		d.addf("operatorTokenFile", "must be given: listen.operators %s is not on loopback", s.Listen.Operators)
	}
	if len(s.EntryVMs) > 1 && s.PeerTokenFile == "" {
		d.addf("peerTokenFile", "must be given: there are several entry VMs")
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
		{"balancerNotice", t.BalancerNotice},
		{"stopDeadline", t.StopDeadline},
	} {
		if f.value.Duration < 0 {
			d.addf("timing."+f.name, "must not be negative, got %s", f.value)
		}
	}
	// A lease that ends before its next renewal is lost while everything works.
	if t.RenewEvery.Duration >= t.OwnerLease.Duration {
		d.addf("timing.renewEvery", "%s must be shorter than ownerLease, %s", t.RenewEvery, t.OwnerLease)
	}
	if t.AnnounceEvery.Duration >= t.ServerLease.Duration {
		d.addf("timing.announceEvery", "%s must be shorter than serverLease, %s", t.AnnounceEvery, t.ServerLease)
	}
}

func (d *document) checkLimits(l Limits) {
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
			d.addf("limits."+f.name, "must not be negative, got %d", f.value)
		}
	}
}
