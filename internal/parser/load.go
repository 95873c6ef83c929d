package parser

// Load is a load file: the demand, the workers and the disruptions that the model of the dispatcher plays.
type Load struct {
	// FailureDomains, CellsPerDomain and WorkersPerCell give the size, WorkerMillicores the capacity of each worker.
	FailureDomains   int `json:"failureDomains"`
	CellsPerDomain   int `json:"cellsPerDomain"`
	WorkersPerCell   int `json:"workersPerCell"`
	WorkerMillicores int `json:"workerMillicores"`
	// Workers is the number of workers of all cells, where WorkersPerCell does not divide it; 0 otherwise.
	Workers int `json:"workers"`
	// WorkerSpeeds are the lowest and the highest speed of a worker, which is uniform between them; empty where all are 1.
	WorkerSpeeds []float64 `json:"workerSpeeds"`
	// DomainWeights are the demands of the failure domains in proportion to each other; empty where they are equal.
	DomainWeights []float64 `json:"domainWeights"`
	// Duration is how long jobs arrive.
	Duration Duration `json:"duration"`
	// ClientDeadline is how long a client waits for an answer.
	ClientDeadline Duration `json:"clientDeadline"`
	// Returns is true for clients that come back after the Retry-After that they were given, while their deadline allows.
	Returns bool `json:"returns"`
	// Swing is by how much of the mean the demand rises and falls within Period; the failure domains follow each other.
	Swing  float64  `json:"swing"`
	Period Duration `json:"period"`

	Queues []LoadQueue `json:"queues"`
	Events []LoadEvent `json:"events"`
}

// LoadQueue is the demand of one queue in all failure domains.
type LoadQueue struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"perSecond"`
	// Tasks is the number of tasks of a job, each of which asks for Millicores and takes RunTime in the mean. Spread is the
	// standard deviation of the logarithm of run times.
	Tasks      int `json:"tasks"`
	Millicores int `json:"millicores"`
	// MillicoresSpread makes what jobs ask for differ; all tasks of a job ask for the same. With MaxMillicores it is the standard
	// deviation of the logarithm, Millicores the median and MaxMillicores the bound. Without, jobs ask uniformly for up to that part
	// of Millicores more or less.
	MillicoresSpread float64 `json:"millicoresSpread"`
	MaxMillicores    int     `json:"maxMillicores"`
	// Priority is the queue's priority; 0 is the most urgent.
	Priority int `json:"priority"`
	// Stragglers is the share of the tasks that take StragglerFactor times as long, which their estimates do not tell.
	Stragglers      float64  `json:"stragglers"`
	StragglerFactor float64  `json:"stragglerFactor"`
	RunTime         Duration `json:"runTime"`
	Spread          float64  `json:"spread"`
	// EstimateFactor times the mean run time is what clients declare; 0 for none.
	EstimateFactor float64 `json:"estimateFactor"`
	// The objective is StretchFactor times the longest run time of the job plus TargetLatency. Worth is what a job within it
	// earns, LateWorth one within three times the objective.
	StretchFactor float64  `json:"stretchFactor"`
	TargetLatency Duration `json:"targetLatency"`
	Worth         float64  `json:"worth"`
	LateWorth     float64  `json:"lateWorth"`
	MaxAttempts   int      `json:"maxAttempts"`
}

// Kinds of disruptions.
const (
	// LoadBurst multiplies the demand of Queue, or of all queues, by Factor.
	LoadBurst = "burst"
	// LoadLostAnswers loses the answers of Rate of the orders to Share of the workers, which carry them out.
	LoadLostAnswers = "lostAnswers"
	// LoadLateOrders carries Rate of the orders to all workers out 2 s to 12 s late, without an answer.
	LoadLateOrders = "lateOrders"
	// LoadDark silences Share of the workers, which end their runs.
	LoadDark = "dark"
	// LoadSlow makes tasks on Share of the workers take Factor times as long.
	LoadSlow = "slow"
	// LoadGrey fails Rate of the tasks on Share of the workers.
	LoadGrey = "grey"
	// LoadLeaving lets Share of the workers drain and leave.
	LoadLeaving = "leaving"
	// LoadOwnersLost kills the owners of Share of the cells. Others take over after half a second.
	LoadOwnersLost = "ownersLost"
	// LoadPowerLost stops all owners for the event's time. Workers report to the new ones within a report interval.
	LoadPowerLost = "powerLost"
)

// LoadEvent is a disruption.
type LoadEvent struct {
	Kind   string   `json:"kind"`
	At     Duration `json:"at"`
	For    Duration `json:"for"`
	Queue  string   `json:"queue"`
	Share  float64  `json:"share"`
	Rate   float64  `json:"rate"`
	Factor float64  `json:"factor"`
}

const (
	// maxLoadWorkers and maxLoadJobs bound the memory and the time that a load takes.
	maxLoadWorkers = 20_000
	maxLoadJobs    = 5_000_000
	maxLoadTasks   = 10_000
)

var loadEventKinds = []string{
	"", LoadBurst, LoadLostAnswers, LoadLateOrders, LoadDark, LoadSlow, LoadGrey, LoadLeaving, LoadOwnersLost, LoadPowerLost,
}

// ParseLoad decodes and checks a load file; name is the file's name in errors. If the content is invalid, the error is an
// Errors.
func ParseLoad(name string, b []byte) (*Load, error) {
	l := &Load{}
	d := readDocument(name, b, l)
	if !d.malformed {
		d.checkLoad(l)
	}
	if err := d.errors.errorOrNil(); err != nil {
		return nil, err
	}
	return l, nil
}

func (d *document) checkLoad(l *Load) {
	for path, n := range map[string]int{
		"failureDomains": l.FailureDomains, "cellsPerDomain": l.CellsPerDomain, "workersPerCell": l.WorkersPerCell, "workerMillicores": l.WorkerMillicores,
	} {
		if n <= 0 || n > maxLoadWorkers*1000 {
			d.errorf(path, "must be above 0")
		}
	}
	if l.FailureDomains > maxLoadWorkers || l.CellsPerDomain > maxLoadWorkers || l.WorkersPerCell > maxLoadWorkers ||
		l.FailureDomains*l.CellsPerDomain > maxLoadWorkers || l.FailureDomains*l.CellsPerDomain*l.WorkersPerCell > maxLoadWorkers {
		d.errorf("workersPerCell", "more than %d workers in total", maxLoadWorkers)
	}
	if cells := l.FailureDomains * l.CellsPerDomain; l.Workers != 0 && (l.Workers < cells*l.WorkersPerCell || l.Workers >= cells*(l.WorkersPerCell+1)) {
		d.errorf("workers", "must be 0 or make workersPerCell workers in each cell, or one more")
	}
	if v := l.WorkerSpeeds; len(v) != 0 && (len(v) != 2 || v[0] <= 0 || v[1] < v[0]) {
		d.errorf("workerSpeeds", "must hold the lowest and the highest speed, above 0")
	}
	if len(l.DomainWeights) != 0 && len(l.DomainWeights) != l.FailureDomains {
		d.errorf("domainWeights", "must hold one weight for each failure domain")
	}
	for _, w := range l.DomainWeights {
		if w <= 0 {
			d.errorf("domainWeights", "must be above 0")
		}
	}
	if l.Duration.Duration <= 0 {
		d.errorf("duration", "must be above 0s")
	}
	if l.ClientDeadline.Duration <= 0 {
		d.errorf("clientDeadline", "must be above 0s")
	}
	if l.Swing < 0 || l.Swing > 1 || l.Swing > 0 && l.Period.Duration <= 0 {
		d.errorf("swing", "must be between 0 and 1, and above 0 only with a period")
	}
	if len(l.Queues) == 0 {
		d.errorf("queues", "must list at least one queue")
	}
	names, jobs := map[string]bool{}, 0.0
	for i, q := range l.Queues {
		path := indexPath("queues", i)
		d.checkName(path+".name", q.Name)
		if names[q.Name] {
			d.errorf(path+".name", "%q is listed twice", q.Name)
		}
		names[q.Name] = true
		jobs += q.PerSecond * l.Duration.Seconds()
		if q.PerSecond < 0 || jobs > maxLoadJobs {
			d.errorf(path+".perSecond", "must not be negative, nor make more than %d jobs in total", maxLoadJobs)
		}
		if q.Tasks <= 0 || q.Tasks > maxLoadTasks {
			d.errorf(path+".tasks", "must be between 1 and %d", maxLoadTasks)
		}
		if q.Millicores < 0 || q.RunTime.Duration <= 0 {
			d.errorf(path+".runTime", "must be above 0s, and millicores not negative")
		}
		if q.Spread < 0 || q.Spread > 3 || q.EstimateFactor < 0 {
			d.errorf(path+".spread", "must be between 0 and 3, and estimateFactor not negative")
		}
		if q.MillicoresSpread < 0 || q.MillicoresSpread >= 1 || q.Priority < 0 {
			d.errorf(path+".millicoresSpread", "must be at least 0 and below 1, and priority not negative")
		}
		if q.MaxMillicores != 0 && (q.MillicoresSpread == 0 || q.MaxMillicores < q.Millicores || q.MaxMillicores > l.WorkerMillicores) {
			d.errorf(path+".maxMillicores", "must be 0, or between millicores and workerMillicores where there is a millicoresSpread")
		}
		if q.MillicoresSpread > 0 && q.MaxMillicores == 0 && float64(q.Millicores)*(1+q.MillicoresSpread) > float64(l.WorkerMillicores) {
			d.errorf(path+".millicoresSpread", "must not make a task larger than workerMillicores")
		}
		if q.Stragglers < 0 || q.Stragglers > 1 || q.Stragglers > 0 && q.StragglerFactor < 1 {
			d.errorf(path+".stragglers", "must be between 0 and 1, and above 0 only with a stragglerFactor of at least 1")
		}
		if q.StretchFactor <= 0 || q.TargetLatency.Duration < 0 || q.MaxAttempts <= 0 {
			d.errorf(path+".stretchFactor", "stretchFactor and maxAttempts must be above 0, and targetLatency not negative")
		}
		if q.Worth < 0 || q.LateWorth < 0 || q.LateWorth > q.Worth {
			d.errorf(path+".worth", "worth and lateWorth must not be negative, nor lateWorth above worth")
		}
	}
	for i, e := range l.Events {
		d.checkLoadEvent(indexPath("events", i), e, names)
	}
}

func (d *document) checkLoadEvent(path string, e LoadEvent, queues map[string]bool) {
	d.checkOneOf(path+".kind", e.Kind, loadEventKinds)
	if e.Kind == "" {
		d.errorf(path+".kind", "must be given, one of %q", loadEventKinds[1:])
	}
	if e.At.Duration < 0 || e.For.Duration < 0 {
		d.errorf(path+".at", "at and for must not be negative")
	}
	if e.Queue != "" && !queues[e.Queue] {
		d.errorf(path+".queue", "%q is not among queues", e.Queue)
	}
	if e.Share < 0 || e.Share > 1 || e.Rate < 0 || e.Rate > 1 {
		d.errorf(path+".share", "share and rate must be between 0 and 1")
	}
	if (e.Kind == LoadBurst || e.Kind == LoadSlow) && e.Factor <= 0 {
		d.errorf(path+".factor", "must be above 0")
	}
}
