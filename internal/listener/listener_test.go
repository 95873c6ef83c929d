package listener_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"clementineyard/internal/configurer"
	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

var limits = parser.Limits{BodyBytes: 64 << 10, HeaderBytes: 4 << 10, TasksPerJob: 1200, Connections: 64}

func configuration() *configurer.Configuration {
	return &configurer.Configuration{Version: 1, Services: map[string]*parser.TaskFile{"s": {
		Service: "s", AllowedTeams: []string{"team"},
		Tasks: []parser.TaskSpec{{Name: "once", NonIdempotent: true}, {Name: "again"}},
	}}}
}

// serve serves h under the test's limits until the test ends and returns its address.
func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := listener.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := listener.NewServer(limits, h)
	s.ReadTimeout = 300 * time.Millisecond
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return ln.Addr().String()
}

// newCallers returns an API for callers that counts accepted submissions and answers each task with "ok".
func newCallers(submitted *int) *listener.CallerAPI {
	return &listener.CallerAPI{
		FailureDomain: "fd-a", Limits: limits, Current: configuration, Now: time.Now,
		Floor: func() time.Time { return time.Time{} },
		Submit: func(s *wire.Submission, _ time.Time, reply func(*wire.Answer)) {
			*submitted++
			a := &wire.Answer{Key: s.Key, Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE}
			for _, task := range s.Tasks {
				a.Tasks = append(a.Tasks, &wire.TaskAnswer{Id: task.Id, Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, Payload: []byte("ok")})
			}
			reply(a)
		},
	}
}

type response struct {
	status        int
	outcome, body string
}

// send sends raw bytes, so that malformed requests are possible, and reads one response.
func send(t *testing.T, address, raw string) response {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read response to %.60q: %v", raw, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header.Get(listener.HeaderOutcome), string(b)}
}

// post returns the bytes of a POST request.
func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

func jobBody(tasks string) string {
	key := fmt.Sprintf("fd-a.%d.0123456789abcdef", time.Now().UnixMilli())
	return fmt.Sprintf(`{"key":%q,"team":"team","service":"s","tasks":[%s]}`, key, tasks)
}

func keyHeader() string {
	return fmt.Sprintf("Clementineyard-Key: fd-a.%d.0123456789abcdef\r\n", time.Now().UnixMilli())
}

func tasksBody(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"id":"%d","task":"again"},`, i)
	}
	return strings.TrimSuffix(b.String(), ",")
}

const teamHeader = "Clementineyard-Team: team\r\n"

// An invalid request must get an error that names the field, must not be submitted, and must not affect later requests.
func TestInvalidRequests(t *testing.T) {
	submitted := 0
	address := serve(t, newCallers(&submitted).Handle)
	for _, c := range []struct {
		name, raw string
		status    int
		contains  string
	}{
		{"body too large", post("/v1/jobs", "", strings.Repeat("x", 65<<10)), 413, "body"},
		{"headers too large", post("/v1/jobs", "X: "+strings.Repeat("x", 5<<10)+"\r\n", ""), 431, "headers"},
		{"truncated JSON", post("/v1/jobs", "", jobBody(tasksBody(1))[:40]), 400, "body"},
		{"malformed JSON", post("/v1/jobs", "", `{"key":]`), 400, "body"},
		{"two JSON values", post("/v1/jobs", "", jobBody(tasksBody(1))+`{}`), 400, "more than one"},
		{"unknown field", post("/v1/jobs", "", `{"kee":"x"}`), 400, "kee"},
		{"no key", post("/v1/jobs", "", `{"team":"team","service":"s","tasks":[{"id":"1","task":"again"}]}`), 400, "key"},
		{"malformed key", post("/v1/jobs", "", `{"key":"x","team":"team","service":"s","tasks":[{"id":"1","task":"again"}]}`), 400, "key"},
		{"no tasks", post("/v1/jobs", "", jobBody("")), 400, "tasks"},
		{"too many tasks", post("/v1/jobs", "", jobBody(tasksBody(1201))), 400, "1201"},
		{"100,000 tasks", post("/v1/jobs", "", jobBody(tasksBody(100000))), 413, "body"},
		{"duplicate task id", post("/v1/jobs", "", jobBody(`{"id":"1","task":"again"},{"id":"1","task":"again"}`)), 400, "tasks[1].id"},
		// Headers alter these ids, so that two tasks of a job could reach a server with the same id.
		{"line break in a task id", post("/v1/jobs", "", jobBody(`{"id":"a\nb","task":"again"}`)), 400, "tasks[0].id"},
		{"space around a task id", post("/v1/jobs", "", jobBody(`{"id":"a ","task":"again"}`)), 400, "tasks[0].id"},
		{"line break in a team", post("/v1/jobs", "", strings.Replace(jobBody(tasksBody(1)), `"team":"team"`, `"team":"te\nam"`, 1)), 400, "team"},
		// No message can carry these strings to another VM.
		{"service not UTF-8", post("/v1/requests/s%ff/again", teamHeader+keyHeader(), ""), 400, "path"},
		{"task not UTF-8", post("/v1/requests/s/again%ff", teamHeader+keyHeader(), ""), 400, "path"},
		{"content type not UTF-8", post("/v1/requests/s/again", teamHeader+"Content-Type: a\xff\r\n", ""), 400, "Content-Type"},
		{"team not UTF-8", post("/v1/requests/s/again", "Clementineyard-Team: a\xff\r\n", ""), 400, "team"},
		{"key not UTF-8", post("/v1/requests/s/again", teamHeader+"Clementineyard-Key: fd\xff.1.0123456789abcdef\r\n", ""), 400, "key"},
		{"unknown task", post("/v1/requests/s/none", teamHeader, ""), 404, "unknownTask"},
		{"negative cores", post("/v1/jobs", "", jobBody(`{"id":"1","task":"again","cores":-1}`)), 400, "tasks[0]"},
		{"negative timeout in a job", post("/v1/jobs", "", strings.Replace(jobBody(tasksBody(1)), `{"key"`, `{"timeoutMilliseconds":-5,"key"`, 1)), 400, "timeoutMilliseconds"},
		{"timeout that would overflow", post("/v1/jobs", "", strings.Replace(jobBody(tasksBody(1)), `{"key"`, `{"timeoutMilliseconds":10000000000000,"key"`, 1)), 400, "timeoutMilliseconds"},
		{"negative timeout", post("/v1/requests/s/again", teamHeader+"Clementineyard-Timeout-Ms: -5\r\n", ""), 400, "Timeout"},
		{"unknown service", post("/v1/requests/none/again", teamHeader, ""), 404, "unknownService"},
		{"no team", post("/v1/requests/s/again", "", ""), 400, "team"},
		{"other team", post("/v1/requests/s/again", "Clementineyard-Team: other\r\n", ""), 403, "teamNotAllowed"},
		{"non-idempotent without a key", post("/v1/requests/s/once", teamHeader, ""), 400, "key"},
		{"unknown path", post("/v2/jobs", "", ""), 404, "path"},
		{"no HTTP", "hello\r\n\r\n", 400, "request"},
		{"body shorter than announced", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{}", 408, "request"},
		{"negative length", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", 400, "request"},
		{"headers that never end", "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n", 408, "request"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := send(t, address, c.raw)
			if a.status != c.status || !strings.Contains(a.body, c.contains) {
				t.Errorf("got %d %s, want %d with %q", a.status, a.body, c.status, c.contains)
			}
			if a.outcome != "notRun" {
				t.Errorf("outcome is %q, want notRun", a.outcome)
			}
		})
	}
	if submitted != 0 {
		t.Errorf("%d invalid requests were submitted", submitted)
	}
	if a := send(t, address, post("/v1/requests/s/again", teamHeader, "x")); a.status != 200 || a.body != "ok" {
		t.Errorf("a valid request after the invalid ones got %d %s, want 200 ok", a.status, a.body)
	}
	if a := send(t, address, post("/v1/jobs", "", jobBody(tasksBody(1200)))); a.status != 200 {
		t.Errorf("a job of 1,200 tasks got %d %.200s, want 200", a.status, a.body)
	}
}

// A resubmission must not be refused because of this entry VM's configuration: its first submission may have run under
// another one.
func TestKeyedSubmissionsSkipLocalConfiguration(t *testing.T) {
	submitted := 0
	c := newCallers(&submitted)
	c.Current = func() *configurer.Configuration { return &configurer.Configuration{} }
	address := serve(t, c.Handle)
	if a := send(t, address, post("/v1/jobs", "", jobBody(tasksBody(1)))); a.status != 200 || submitted != 1 {
		t.Errorf("a job got %d %s, and %d were submitted", a.status, a.body, submitted)
	}
	if a := send(t, address, post("/v1/requests/s/again", teamHeader, "")); a.status != 503 || !strings.Contains(a.body, "noConfiguration") {
		t.Errorf("a request without a key got %d %s, want 503 noConfiguration", a.status, a.body)
	}
}

// An owner that has just lost its records refuses keys issued before its floor; new keys must be issued after it.
func TestNewKeysAreIssuedAfterFloor(t *testing.T) {
	submitted := 0
	c := newCallers(&submitted)
	floor := time.Now().Add(2 * time.Second)
	c.Floor = func() time.Time { return floor }
	a := send(t, serve(t, c.Handle), post("/v1/keys", "", ""))
	var out struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal([]byte(a.body), &out); err != nil {
		t.Fatal(err)
	}
	k, err := recorder.ParseKey(out.Key)
	if err != nil || k.Issued.Before(floor) || k.Issued.After(floor.Add(2*time.Millisecond)) {
		t.Errorf("key %q was issued %s after the floor (%v)", out.Key, k.Issued.Sub(floor), err)
	}
}

// An announcement with an address that cannot be dialled must be refused: tasks sent to that server would fail.
func TestAnnouncedAddress(t *testing.T) {
	announced := 0
	servers := &listener.ServerAPI{FailureDomain: "fd-a", Announce: func(*wire.Announcement) { announced++ }}
	address := serve(t, servers.Handle)
	announce := func(server string) response {
		return send(t, address, post("/v1/announcements", "", fmt.Sprintf(`{"name":"n","incarnation":1,"kind":"backendServer",
			"address":%q,"failureDomain":"fd-a","services":["s"],"slots":1,"connections":1}`, server)))
	}
	for _, bad := range []string{"", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:0", "127.0.0.1:65536", "localhost:80"} {
		if a := announce(bad); a.status != 400 || !strings.Contains(a.body, "address") {
			t.Errorf("address %q got %d %s, want 400 with the field", bad, a.status, a.body)
		}
	}
	if a := announce("127.0.0.1:80"); a.status != 200 || announced != 1 {
		t.Errorf("a valid address got %d %s and %d announcements, want 200 and 1", a.status, a.body, announced)
	}
}

// A change without the operators' token must not be proposed.
func TestOperatorsRequireToken(t *testing.T) {
	proposed := 0
	o := &listener.OperatorAPI{
		Token: "secret", Current: configuration, Now: time.Now,
		Ready: func() (bool, string) { return true, "" },
		Propose: func(_ *wire.Change, _ time.Time, done func(*wire.ChangeResult)) {
			proposed++
			done(&wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_ACCEPTED, Version: 2})
		},
	}
	address := serve(t, o.Handle)
	change := `{"id":"c1","baseVersion":1,"author":"a","files":[{"service":"s","removed":true}]}`
	for _, c := range []struct {
		name, headers string
		status        int
	}{
		{"none", "", 401},
		{"wrong", "Authorization: Bearer wrong\r\n", 401},
		{"prefix", "Authorization: Bearer secre\r\n", 401},
		{"right", "Authorization: Bearer secret\r\n", 200},
	} {
		if a := send(t, address, post("/v1/changes", c.headers, change)); a.status != c.status {
			t.Errorf("token %s: got %d %s, want %d", c.name, a.status, a.body, c.status)
		}
	}
	if proposed != 1 {
		t.Errorf("%d changes were proposed, want 1", proposed)
	}
	if a := send(t, address, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n"); a.status != 200 {
		t.Errorf("health without a token got %d, want 200", a.status)
	}
}
