package parser

// Settings configures one entry VM.
type Settings struct {
	// Name is the entry VM's name, unique among EntryVMs.
	Name string `json:"name"`
	// FailureDomain is the failure domain the entry VM stands in.
	FailureDomain string `json:"failureDomain"`
	// DataFolder holds the configuration log of a voter; empty on a VM without a disk.
	DataFolder string `json:"dataFolder"`
	// Listen holds the addresses this process binds, as IP:port.
	Listen Listen `json:"listen"`
	// EntryVMs lists every entry VM, this one included.
	EntryVMs []EntryVM `json:"entryVMs"`
	// Groups names the members that keep each failure domain's submission records.
	Groups []Group `json:"groups"`
	// Voters names the entry VMs that agree on configuration.
	Voters []string `json:"voters"`
	// PeerTokenFile and OperatorTokenFile hold the shared secrets; relative paths count from the settings file.
	PeerTokenFile     string `json:"peerTokenFile"`
	OperatorTokenFile string `json:"operatorTokenFile"`
	// Log configures the process log.
	Log Log `json:"log"`
	// Timing holds the time limits; zero values take the defaults.
	Timing Timing `json:"timing"`
	// Limits bounds what comes from outside; zero values take the defaults.
	Limits Limits `json:"limits"`
	// Policy is one of the Policy constants; empty means PolicyDefault.
	Policy string `json:"policy"`
}

// The policies. All but the default serve measurements only.
const (
	PolicyDefault = "clementineyard"
	// PolicyBaseline is random choice of server, first in first out, unlimited queue, no learning.
	PolicyBaseline = "baseline"
	// PolicyLastReport and PolicySmoothedReport are the default with another load score of workers.
	PolicyLastReport     = "lastReport"
	PolicySmoothedReport = "smoothedReport"
)

// Listen holds the addresses one entry VM binds.
type Listen struct {
	Callers   string `json:"callers"`
	Servers   string `json:"servers"`
	Operators string `json:"operators"`
	// Peers is bound for TCP streams, and for datagrams under the same number.
	Peers string `json:"peers"`
}

// EntryVM is how the others reach one entry VM.
type EntryVM struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Peers is the IP:port for streams and datagrams.
	Peers string `json:"peers"`
}

// Group names the members that keep one failure domain's submission records.
type Group struct {
	FailureDomain string `json:"failureDomain"`
	// Members of another failure domain are witnesses: they store and vote but never own.
	Members []string `json:"members"`
}

// Log configures the process log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// Timing holds time limits, each written with its unit, for example "2s".
type Timing struct {
	OwnerLease      Duration `json:"ownerLease"`
	RenewEvery      Duration `json:"renewEvery"`
	ServerLease     Duration `json:"serverLease"`
	AnnounceEvery   Duration `json:"announceEvery"`
	ElectionTimeout Duration `json:"electionTimeout"`
	PingEvery       Duration `json:"pingEvery"`
	Retention       Duration `json:"retention"`
	BalancerNotice  Duration `json:"balancerNotice"`
	StopDeadline    Duration `json:"stopDeadline"`
}

// Limits bounds what comes from outside.
type Limits struct {
	// BodyBytes and HeaderBytes bound one HTTP request.
	BodyBytes   int `json:"bodyBytes"`
	HeaderBytes int `json:"headerBytes"`
	// TasksPerJob bounds the tasks of one job.
	TasksPerJob int `json:"tasksPerJob"`
	// Connections bounds the open connections of one listener.
	Connections int `json:"connections"`
}
