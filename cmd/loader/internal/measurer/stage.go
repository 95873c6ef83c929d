package measurer

import "clementineyard/cmd/loader/internal/launcher"

const (
	slotsPerServer = 8
	serverCount    = 50
)

var (
	domains = []launcher.Domain{{Name: "casa-a", VMs: 2}, {Name: "rabat-b", VMs: 2}, {Name: "tanger-c", VMs: 2}}
	oneVM   = []launcher.Domain{{Name: "casa-a", VMs: 1}}
)

// taskFiles maps the services of the benchmark to their task files. The expected run times of "mixed" are wrong on
// purpose. "wave" queues its tasks until their deadline, so that 10,000 of them can wait.
var taskFiles = map[string]string{
	"bench": `{"service":"bench","tasks":[
		{"name":"lookUp","timeout":"4s","expectedRunTime":"100ms"},
		{"name":"update","timeout":"4s","expectedRunTime":"400ms"},
		{"name":"export","timeout":"10s","expectedRunTime":"3s"}]}`,
	"mixed": `{"service":"mixed","tasks":[
		{"name":"short","timeout":"10s","expectedRunTime":"1s"},
		{"name":"long","timeout":"30s","expectedRunTime":"50ms"}]}`,
	"wave": `{"service":"wave","overload":"queue","tasks":[{"name":"wait","timeout":"60s","expectedRunTime":"200ms"}]}`,
	"work": `{"service":"work","runsOn":"workers","tasks":[
		{"name":"step","timeout":"5s","expectedRunTime":"200ms","cores":1,"memory":"256MiB"}]}`,
}
