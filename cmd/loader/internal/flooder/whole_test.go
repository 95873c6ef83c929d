package flooder

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"clementineyard/internal/listener"
	"clementineyard/platform/impersonator"
)

// The behaviours here send whole requests that take far more memory than their bytes, that wait for long, or whose answers the
// client does not read.

// waitingStep is a step whose tasks ask for a core, of the one that the worker has, and may wait for a minute.
func waitingStep(tasks int) impersonator.Step {
	return impersonator.Step{Count: tasks, Millicores: 1000, Estimate: time.Minute}
}

// The run times of tasks, in milliseconds: for as long as a test, and short.
const longRun, shortRun = "60000", "200"

// wideJobs submits jobs with the most tasks that a job may have, in a body of some bytes.
var wideJobs = behaviour{name: "wide jobs", distinct: true, pieces: func(requestShape) [][]byte {
	return [][]byte{submission(longRun, waitingStep(10_000))}
}}

// freeTasks submits jobs with the most tasks that a job may have, which ask for no resources and so all have room.
var freeTasks = behaviour{name: "free tasks", distinct: true, pieces: func(requestShape) [][]byte {
	return [][]byte{submission(shortRun, impersonator.Step{Count: 10_000, Estimate: time.Minute})}
}}

// waitingJobs submits small jobs.
var waitingJobs = behaviour{name: "waiting jobs", distinct: true, pieces: func(requestShape) [][]byte {
	return [][]byte{submission(longRun, waitingStep(1))}
}}

// headersOfJobs submits small jobs whose headers have up to as many lines as they may, so that the crowd fills a budget.
var headersOfJobs = behaviour{name: "headers of jobs", distinct: true, pieces: func(r requestShape) [][]byte {
	request := submission(longRun, waitingStep(1))
	end := bytes.Index(request, []byte("\r\n\r\n")) + len("\r\n")
	lines := shortLines(requestShape{headerBytes: rand.IntN(r.headerBytes - end)}, "%x:\r\n", "")
	_, lines, _ = bytes.Cut(lines, []byte(testHost+"\r\n"))
	return [][]byte{slices.Concat(request[:end], lines, request[end:])}
}}

// waitingRequests sends requests to a service whose only server answers nothing.
var waitingRequests = behaviour{name: "waiting requests", knownRed: true, pieces: func(requestShape) [][]byte {
	return [][]byte{fmt.Appendf(nil, "POST /v1/requests/desk/check HTTP/1.1\r\nHost: %s\r\n%s: team\r\n%s: 600000\r\nContent-Length: 2\r\n\r\n{}", testHost,
		listener.HeaderTeam, listener.HeaderTimeout)}
}}

// unreadAnswers asks for the configuration ten times in one write.
var unreadAnswers = behaviour{name: "unread answers", pieces: func(r requestShape) [][]byte {
	return [][]byte{bytes.Repeat(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", impersonator.PathConfiguration, testHost), 10)}
}}

// submission returns the request that submits a job with an id of its own.
func submission(spec string, s impersonator.Step) []byte {
	body := impersonator.Job(spec, s)
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", jobPath(), testHost, len(body), body)
}

func jobPath() string { return fmt.Sprintf("%s%016x", testPath, rand.Uint64()) }

// repeated returns a behaviour that sends a whole body with as many elements as fit into it.
func repeated(name, before, element, after string) behaviour {
	return behaviour{name: name, pieces: func(r requestShape) [][]byte {
		n := (r.bodyBytes - len(before) - len(after)) / len(element)
		body := before + strings.Repeat(element, n) + after
		header := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", r.method, r.path, testHost, len(body))
		return [][]byte{header, []byte(body)}
	}}
}
