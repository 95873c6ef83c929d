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

// serve starts a server that returns the next reply for each call and the last one from then on; "" closes the
// connection without a response. It returns a Requester for the server and the number of calls.
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
	return requester.New(requester.Config{Address: entry, Sleep: func(time.Duration) {}})
}

// A change whose response is lost must be sent again, and must never be reported as refused while it may be applied.
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

// A job that may have run must not be reported as not run.
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
	unreachable := newRequester(ln.Addr().String())
	_ = ln.Close()
	for newKey, want := range map[bool]requester.Result{true: requester.NotRun, false: requester.Unknown} {
		if got, _, err := unreachable.Submit(&listener.Job{Key: "k"}, newKey); got != want || err == nil {
			t.Errorf("refused connection, new key %t: result %d, error %v, want %d", newKey, got, err, want)
		}
	}
}
