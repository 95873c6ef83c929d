package requester_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"clementineyard/internal/listener"
	"clementineyard/internal/requester"
)

// serve answers each call with the next reply; "" closes the connection without an answer.
func serve(t *testing.T, replies ...string) (*requester.Requester, *int) {
	t.Helper()
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reply := replies[min(calls, len(replies)-1)]
		calls++
		if reply == "" {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(reply))
	}))
	t.Cleanup(s.Close)
	return newRequester(strings.TrimPrefix(s.URL, "http://")), &calls
}

func newRequester(entry string) *requester.Requester {
	return requester.New(requester.Config{Entry: entry, Sleep: func(time.Duration) {}})
}

// A change whose answer was lost must be sent again, and must never be reported as refused while it may be in force.
func TestPublishRepeatsUnknown(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []string
		verdict string
		calls   int
	}{
		{"accepted", []string{`{"verdict":"accepted","version":3}`}, "accepted", 1},
		{"conflict", []string{`{"verdict":"conflict","winnerId":"x"}`}, "conflict", 1},
		{"no majority", []string{`{"verdict":"noMajority"}`}, "noMajority", 1},
		{"answer lost", []string{"", `{"verdict":"accepted","version":3}`}, "accepted", 2},
		{"unknown", []string{`{"verdict":"unknown"}`, `{"verdict":"notLeader"}`, `{"verdict":"accepted"}`}, "accepted", 3},
		{"lost, then no majority", []string{"", `{"verdict":"noMajority"}`}, "unknown", 2},
		{"always unknown", []string{`{"verdict":"unknown"}`}, "unknown", 10},
		{"never a leader", []string{`{"verdict":"notLeader"}`}, "notLeader", 10},
		{"wrong token", []string{`{"error":"operator's token is missing or wrong"}`}, "invalid", 1},
	} {
		r, calls := serve(t, c.replies...)
		a, err := r.Publish(listener.ChangeRequest{ID: "1"})
		if err != nil || a.Verdict != c.verdict || *calls != c.calls {
			t.Errorf("%s: verdict %q after %d calls, error %v, want %q after %d", c.name, a.Verdict, *calls, err, c.verdict, c.calls)
		}
	}
}

// The exit code must not say "not run" of a job that may have run.
func TestSubmitResult(t *testing.T) {
	for reply, want := range map[string]requester.Result{
		`{"outcome":"answered","state":"complete"}`: requester.Complete,
		`{"outcome":"answered","state":"failed"}`:   requester.Failed,
		`{"outcome":"notRun","state":"failed"}`:     requester.NotRun,
		`{"outcome":"unknown","state":"failed"}`:    requester.Unknown,
		`<html>`:                                    requester.Unknown,
		``:                                          requester.Unknown,
	} {
		r, _ := serve(t, reply)
		if got, _, _ := r.Submit(&listener.Job{Key: "k"}, true); got != want {
			t.Errorf("answer %q: result %d, want %d", reply, got, want)
		}
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := newRequester(ln.Addr().String())
	_ = ln.Close()
	for fresh, want := range map[bool]requester.Result{true: requester.NotRun, false: requester.Unknown} {
		if got, _, err := closed.Submit(&listener.Job{Key: "k"}, fresh); got != want || err == nil {
			t.Errorf("refused connection, fresh key %t: result %d, error %v, want %d", fresh, got, err, want)
		}
	}
}
