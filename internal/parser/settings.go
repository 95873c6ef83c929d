package parser

// Settings configures one entry VM.
type Settings struct {
	// Name is the entry VM's name, unique among EntryVMs.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the entry VM is in.
	FailureDomain string `json:"failureDomain"`
	// DataFolder is the folder of a voter's configuration log; empty on a VM without a disk.
	DataFolder string `json:"dataFolder"`
	// Listen holds the addresses that this process listens on, as IP:port.
	Listen Listen `json:"listen"`
	// EntryVMs lists every entry VM, this one included.
	EntryVMs []EntryVM `json:"entryVMs"`
	// Groups names the members that keep each failure domain's submission records.
	Groups []Group `json:"groups"`
	// Voters names the entry VMs that vote on the configuration by consensus; their number is odd.
	Voters []string `json:"voters"`
	// PeerTokenFile and OperatorTokenFile are the paths of files with the shared secrets, relative to the settings file.
	PeerTokenFile     string `json:"peerTokenFile"`
	OperatorTokenFile string `json:"operatorTokenFile"`
	// Log configures the process log.
	Log Log `json:"log"`
	// Timing holds leases, intervals and time limits; 0 stands for the default.
	Timing Timing `json:"timing"`
	// Limits bounds requests and connections; 0 stands for the default.
	Limits Limits `json:"limits"`
	// Policy is one of the Policy constants; empty means PolicyDefault.
	Policy string `json:"policy"`
}

// The scheduling policies. All but the default are for measurements only.
const (
	PolicyDefault = "clementineyard"
	// PolicyBaseline chooses servers at random and keeps an unbounded first-in-first-out queue; it learns no run times.
	PolicyBaseline = "baseline"
	// PolicyLastReport and PolicySmoothedReport differ from the default in how they score the load of workers.
	PolicyLastReport     = "lastReport"
	PolicySmoothedReport = "smoothedReport"
)

// Listen holds the addresses that one entry VM listens on.
type Listen struct {
	Callers   string `json:"callers"`
	Servers   string `json:"servers"`
	Operators string `json:"operators"`
	// Peers is the address for TCP streams and, with the same port number, for UDP datagrams.
	Peers string `json:"peers"`
}

// EntryVM names one entry VM and the address at which the others reach it.
type EntryVM struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Peers is the IP:port for TCP streams and UDP datagrams.
	Peers string `json:"peers"`
}

// Group names the members that keep one failure domain's submission records.
type Group struct {
	FailureDomain string `json:"failureDomain"`
	// Members of another failure domain are witnesses: they store records and vote, but never become the owner.
	Members []string `json:"members"`
}

// Log configures the process log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// Timing holds leases, intervals and time limits, each written with its unit, for example "2s".
type Timing struct {
	// OwnerLease is the lease of a failure domain's owner, renewed every RenewEvery.
	OwnerLease Duration `json:"ownerLease"`
	RenewEvery Duration `json:"renewEvery"`
	// ServerLease is the lease of a backend server or worker, renewed by an announcement every AnnounceEvery.
	ServerLease   Duration `json:"serverLease"`
	AnnounceEvery Duration `json:"announceEvery"`
	// ElectionTimeout is the election timeout of the voters' consensus.
	ElectionTimeout Duration `json:"electionTimeout"`
	// PingEvery is the interval of pings between entry VMs.
	PingEvery Duration `json:"pingEvery"`
	// Retention is the time from the issue of a key after which it expires and its record is dropped.
	Retention Duration `json:"retention"`
	// ShutdownDelay is how long a stopping entry VM serves on, so that the load balancer notices that it is not ready.
	ShutdownDelay Duration `json:"balancerNotice"`
	// StopTimeout bounds the time of a graceful stop.
	StopTimeout Duration `json:"stopDeadline"`
}

// Limits bounds requests and connections.
type Limits struct {
	// BodyBytes and HeaderBytes bound one HTTP request.
	BodyBytes   int `json:"bodyBytes"`
	HeaderBytes int `json:"headerBytes"`
	// TasksPerJob bounds the tasks of one job.
	TasksPerJob int `json:"tasksPerJob"`
	// Connections bounds the open connections of one listener.
	Connections int `json:"connections"`
	// RequestMemory bounds what all requests hold together until they are answered, in bytes.
	RequestMemory Bytes `json:"requestMemory"`
	// StallTime is how long a request may make no progress while it arrives.
	StallTime Duration `json:"stallTime"`
}
