package recorder_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

var start = time.UnixMilli(1_764_846_000_000)

// TestMain fixes the seed, so that each run gives the same result; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func key(issued time.Time, n int) recorder.Key {
	return recorder.Key{Home: "casa-a", Issued: issued, Random: fmt.Sprintf("%016x", n)}
}

func record(k recorder.Key, content string) recorder.Record {
	return recorder.Record{Key: k, ContentHash: []byte(content), Team: "clubs", TaskCount: 2, Epoch: 1}
}

func answered(bytes int) *wire.Answer {
	return &wire.Answer{
		Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE,
		Tasks: []*wire.TaskAnswer{{Id: "0", Payload: make([]byte, bytes)}},
	}
}

func newRecorder() *recorder.Recorder {
	return recorder.New(recorder.Config{Retention: 10 * time.Minute, ClockMargin: 2 * time.Second})
}

// A wrong verdict starts a submission twice or reports one that ran as not run.
func TestVerdicts(t *testing.T) {
	k := key(start, 1)
	accepted := func(r *recorder.Recorder) { r.Begin(start, record(k, "a")); r.Commit(k) }
	finished := func(r *recorder.Recorder) { accepted(r); r.Finish(start, k, answered(1)) }
	for _, c := range []struct {
		name    string
		prepare func(*recorder.Recorder)
		key     recorder.Key
		content string
		after   time.Duration
		want    recorder.Verdict
	}{
		{"unknown key", nil, k, "a", 0, recorder.VerdictNew},
		{"pending", func(r *recorder.Recorder) { r.Begin(start, record(k, "a")) }, k, "a", 0, recorder.VerdictRunning},
		{"abandoned", func(r *recorder.Recorder) { r.Begin(start, record(k, "a")); r.Abandon(k) }, k, "a", 0, recorder.VerdictNew},
		{"committed", accepted, k, "a", 0, recorder.VerdictRunning},
		{"committed records are not abandoned", func(r *recorder.Recorder) { accepted(r); r.Abandon(k) }, k, "a", 0, recorder.VerdictRunning},
		{"finished", finished, k, "a", 0, recorder.VerdictFinished},
		{"other content while running", accepted, k, "b", 0, recorder.VerdictConflict},
		{"other content when finished", finished, k, "b", 0, recorder.VerdictConflict},
		{"within retention", nil, k, "a", 10 * time.Minute, recorder.VerdictNew},
		{"older than retention", nil, k, "a", 10*time.Minute + time.Millisecond, recorder.VerdictExpired},
		{"finished and older than retention", finished, k, "a", 10*time.Minute + time.Millisecond, recorder.VerdictExpired},
		{"within clock margin", nil, key(start.Add(2*time.Second), 1), "a", 0, recorder.VerdictNew},
		{"ahead of clock margin", nil, key(start.Add(2001*time.Millisecond), 1), "a", 0, recorder.VerdictTooNew},
		{"known key is never too new", finished, k, "a", -time.Minute, recorder.VerdictFinished},
		{"taken over", func(r *recorder.Recorder) { accepted(r); r.TakeOver(start, true) }, k, "a", 0, recorder.VerdictFinished},
		{"below the floor", func(r *recorder.Recorder) { r.TakeOver(start, false) }, k, "a", 0, recorder.VerdictRecordsLost},
		{"below the floor and known", func(r *recorder.Recorder) { finished(r); r.TakeOver(start, false) }, k, "a", 0, recorder.VerdictFinished},
		{"at the floor", func(r *recorder.Recorder) { r.TakeOver(start, false) }, key(start.Add(2*time.Second), 1), "a", 0, recorder.VerdictNew},
		{"complete takeover", func(r *recorder.Recorder) { r.TakeOver(start, true) }, k, "a", 0, recorder.VerdictNew},
		{"floor of another member", func(r *recorder.Recorder) { r.RaiseFloor(start.Add(1)); r.RaiseFloor(start) }, k, "a", 0, recorder.VerdictRecordsLost},
	} {
		r := newRecorder()
		if c.prepare != nil {
			c.prepare(r)
		}
		if _, got := r.Begin(start.Add(c.after), record(c.key, c.content)); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// A full table must evict the oldest finished records and raise the floor, and must keep records younger than a minute.
func TestBudgetOfRecords(t *testing.T) {
	r := recorder.New(recorder.Config{Retention: 10 * time.Minute, ClockMargin: 2 * time.Second, RecordBytes: 64 << 10})
	n := 0
	for ; ; n++ {
		k := key(start.Add(time.Duration(n)*time.Millisecond), n)
		if _, v := r.Begin(start, record(k, "a")); v == recorder.VerdictFull {
			break
		}
		r.Commit(k)
		if n > 0 { // the oldest stays unfinished
			r.Finish(start, k, answered(0))
		}
	}
	later := start.Add(2 * time.Minute)
	if _, v := r.Begin(later, record(key(later, n), "a")); v != recorder.VerdictNew {
		t.Fatalf("verdict %d two minutes later, want new", v)
	}
	if _, v := r.Begin(later, record(key(start, 0), "a")); v != recorder.VerdictRunning {
		t.Errorf("unfinished record: verdict %d, want running", v)
	}
	if _, v := r.Begin(later, record(key(start.Add(time.Millisecond), 1), "a")); v != recorder.VerdictRecordsLost {
		t.Errorf("evicted record: verdict %d, want recordsLost", v)
	}
	if _, v := r.Begin(later, record(key(start.Add(time.Duration(n-1)*time.Millisecond), n-1), "a")); v != recorder.VerdictFinished {
		t.Errorf("youngest record: verdict %d, want finished", v)
	}
}

// When the answers exceed their budget, the oldest must lose their bodies and keep their outcome and state.
func TestBudgetOfAnswers(t *testing.T) {
	r := recorder.New(recorder.Config{Retention: 10 * time.Minute, ClockMargin: 2 * time.Second, AnswerBytes: 10_000})
	for n := range 20 {
		k := key(start, n)
		r.Begin(start, record(k, "a"))
		r.Commit(k)
		r.Finish(start, k, answered(1000))
	}
	for n, want := range map[int]wire.Reason{0: wire.Reason_REASON_ANSWER_DROPPED, 19: wire.Reason_REASON_NONE} {
		a := r.Get(key(start, n)).Answer
		if a.Reason != want || a.State != wire.State_STATE_COMPLETE || a.Outcome != wire.Outcome_OUTCOME_ANSWERED {
			t.Errorf("answer %d: %v, want reason %s", n, a.Reason, want)
		}
	}
	if _, b := r.Bytes(); b > 10_000 {
		t.Errorf("%d bytes of answers, want at most 10000", b)
	}
}

// Replicas receive records in any order: a finished record must not become accepted again, and the actual answer must
// replace the failure that a takeover recorded.
func TestMerge(t *testing.T) {
	k := key(start, 1)
	accepted, done, ownerLost := record(k, "a"), record(k, "a"), record(k, "a")
	accepted.State = wire.State_STATE_ACCEPTED
	done.State, done.Answer = wire.State_STATE_COMPLETE, answered(1)
	ownerLost.State, ownerLost.Answer = wire.State_STATE_FAILED, &wire.Answer{State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_OWNER_LOST}
	for _, order := range [][]recorder.Record{{accepted, done}, {done, accepted}, {ownerLost, done}, {done, ownerLost}, {accepted, ownerLost, done, accepted}} {
		r := newRecorder()
		for _, rec := range order {
			r.Merge(start, []recorder.Record{rec})
		}
		if got := r.Get(k); got.State != wire.State_STATE_COMPLETE || len(got.Answer.GetTasks()) != 1 {
			t.Errorf("merged record is %s, want complete with one task", got.State)
		}
	}
}

// After records have been added, abandoned and forgotten at random, the chunks together must hold every record within
// the retention, and after the retention nothing may be left.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := newRecorder(), start
		model := map[recorder.Key]bool{}
		for n := range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "millis")) * time.Millisecond)
			k := key(now.Add(-time.Duration(rapid.IntRange(0, 9*60_000).Draw(t, "age"))*time.Millisecond), n)
			if _, v := r.Begin(now, record(k, "a")); v != recorder.VerdictNew {
				t.Fatalf("verdict %d, want new", v)
			}
			model[k] = true
			if rapid.Bool().Draw(t, "abandon") {
				r.Abandon(k)
				delete(model, k)
			}
			r.DropExpired(now)
		}
		got, after := map[recorder.Key]bool{}, uint64(0)
		for more := true; more; {
			var recs []recorder.Record
			recs, after, more = r.Chunk(after, rapid.IntRange(1, 50).Draw(t, "limit"), 1<<20)
			for _, rec := range recs {
				got[rec.Key] = true
			}
		}
		for k := range model {
			if !k.Issued.Add(10*time.Minute).Before(now) && !got[k] {
				t.Fatalf("record %s is missing", k)
			}
		}
		if r.DropExpired(now.Add(time.Hour)); r.Len() != 0 {
			t.Fatalf("%d records an hour later, want 0", r.Len())
		}
		if a, b := r.Bytes(); a != 0 || b != 0 {
			t.Fatalf("an empty table counts %d bytes of records and %d of answers, want 0", a, b)
		}
	})
}

// BenchmarkMemory reports the heap size of a committed record and the estimate that counts against the budget.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 300_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := recorder.New(recorder.Config{Retention: time.Hour, ClockMargin: time.Second, RecordBytes: 1 << 30})
				for n := range size {
					k := key(start, n)
					r.Begin(start, record(k, "0123456789abcdef"))
					r.Commit(k)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				records, _ := r.Bytes()
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "heapBytes/record")
				b.ReportMetric(float64(records)/float64(size), "countedBytes/record")
				b.ReportMetric(float64(proto.Size(recorder.ToWire(record(recorder.NewKey("casa-a", start), "0123456789abcdef")))), "wireBytes/record")
				runtime.KeepAlive(r)
			}
		})
	}
}
