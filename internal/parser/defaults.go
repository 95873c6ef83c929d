package parser

import "time"

// Defaults of settings and task files for fields that are left out. DefaultTimeout applies when neither the caller nor
// the task file sets a timeout.
const (
	DefaultOwnerLease      = 900 * time.Millisecond
	DefaultRenewEvery      = 150 * time.Millisecond
	DefaultServerLease     = 2500 * time.Millisecond
	DefaultAnnounceEvery   = 700 * time.Millisecond
	DefaultElectionTimeout = 500 * time.Millisecond
	DefaultPingEvery       = 500 * time.Millisecond
	DefaultRetention       = 10 * time.Minute
	DefaultShutdownDelay   = 2 * time.Second
	DefaultStopTimeout     = 30 * time.Second

	DefaultBodyBytes   = 1 << 20
	DefaultHeaderBytes = 8 << 10
	DefaultTasksPerJob = 1200
	DefaultConnections = 4096
	// DefaultRequestMemory holds 48 of the largest requests, and far more of the usual ones. With 64 MiB, a flood brought a daemon to
	// 225 of the 256 MB for which the tests allow.
	DefaultRequestMemory = 48 << 20
	// DefaultStallTime is longer than any client takes between two bytes that means to send more.
	DefaultStallTime = 20 * time.Second
	DefaultMaxQueued = 20000
	DefaultTimeout   = 10 * time.Second
)

// setDefaults sets every time and limit that is 0 to its default.
func (s *Settings) setDefaults() {
	t := &s.Timing
	for _, d := range []struct {
		setting *Duration
		value   time.Duration
	}{
		{&t.OwnerLease, DefaultOwnerLease},
		{&t.RenewEvery, DefaultRenewEvery},
		{&t.ServerLease, DefaultServerLease},
		{&t.AnnounceEvery, DefaultAnnounceEvery},
		{&t.ElectionTimeout, DefaultElectionTimeout},
		{&t.PingEvery, DefaultPingEvery},
		{&t.Retention, DefaultRetention},
		{&t.ShutdownDelay, DefaultShutdownDelay},
		{&t.StopTimeout, DefaultStopTimeout},
		{&s.Limits.StallTime, DefaultStallTime},
	} {
		if d.setting.Duration == 0 {
			d.setting.Duration = d.value
		}
	}
	l := &s.Limits
	if l.RequestMemory == 0 {
		l.RequestMemory = DefaultRequestMemory
	}
	for _, n := range []struct {
		limit *int
		value int
	}{
		{&l.BodyBytes, DefaultBodyBytes},
		{&l.HeaderBytes, DefaultHeaderBytes},
		{&l.TasksPerJob, DefaultTasksPerJob},
		{&l.Connections, DefaultConnections},
	} {
		if *n.limit == 0 {
			*n.limit = n.value
		}
	}
}
