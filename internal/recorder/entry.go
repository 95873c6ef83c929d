package recorder

import (
	"container/heap"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// entry is the in-memory form of a record. It is compact, because a table holds hundreds of thousands of them.
type entry struct {
	key          string
	contentHash  string
	team         string
	answer       *wire.Answer
	issuedMillis int64
	epoch        uint64
	position     uint64
	answerBytes  int32
	taskCount    int32
	// heapIndex is the index of the entry in the heap by issue time.
	heapIndex int32
	state     wire.State
	pending   bool
}

func (e *entry) issued() time.Time { return time.UnixMilli(e.issuedMillis) }

func (e *entry) hash() []byte { return []byte(e.contentHash) }

func (e *entry) record() Record {
	home, rest, _ := strings.Cut(e.key, ".")
	_, random, _ := strings.Cut(rest, ".")
	return Record{
		Key: Key{Home: home, Issued: e.issued(), Random: random}, ContentHash: e.hash(), Team: e.team,
		TaskCount: int(e.taskCount), State: e.state, Epoch: e.epoch, Answer: e.answer,
	}
}

// add appends an accepted record to the table.
func (r *Recorder) add(rec Record) *entry {
	team, ok := r.teams[rec.Team]
	if !ok {
		team = strings.Clone(rec.Team)
		r.teams[team] = team
	}
	e := &entry{
		key: rec.Key.String(), contentHash: string(rec.ContentHash), team: team, issuedMillis: rec.Key.Issued.UnixMilli(),
		epoch: rec.Epoch, position: r.firstPosition + uint64(len(r.byPosition)), taskCount: int32(rec.TaskCount),
		state: wire.State_STATE_ACCEPTED,
	}
	r.records[e.key] = e
	r.byPosition = append(r.byPosition, e)
	heap.Push(&r.byIssueTime, e)
	r.totalRecordBytes += entryOverhead + len(e.key)
	return e
}

// remove deletes a record from the table. Its answer stays queued in r.answers with a size of 0.
func (r *Recorder) remove(e *entry) {
	heap.Remove(&r.byIssueTime, int(e.heapIndex))
	delete(r.records, e.key)
	r.totalRecordBytes -= entryOverhead + len(e.key)
	r.totalAnswerBytes -= int(e.answerBytes)
	e.answer, e.answerBytes = nil, 0
	r.byPosition[e.position-r.firstPosition] = nil
	r.compact()
}

// compact drops the removed entries at the front of byPosition. Later gaps stay until all entries before them are
// removed.
func (r *Recorder) compact() {
	n := 0
	for n < len(r.byPosition) && r.byPosition[n] == nil {
		n++
	}
	if n < len(r.byPosition)/4+1 {
		return
	}
	r.byPosition = append([]*entry(nil), r.byPosition[n:]...)
	r.firstPosition += uint64(n)
}

// setAnswer sets the state and answer of a record and accounts for the size of the answer.
func (r *Recorder) setAnswer(e *entry, s wire.State, a *wire.Answer) {
	r.totalAnswerBytes -= int(e.answerBytes)
	e.state, e.answer, e.answerBytes = s, a, int32(proto.Size(a))
	r.totalAnswerBytes += int(e.answerBytes)
	r.answers.push(e)
}

// trimAnswers drops the bodies of the oldest answers while the answers exceed their budget, and skips queued entries
// that have been removed from the table. An answer without its body keeps the outcome and the state.
func (r *Recorder) trimAnswers() {
	for {
		e := r.answers.front()
		if e == nil || (e.answerBytes > 0 && r.totalAnswerBytes <= r.cfg.AnswerBytes) {
			return
		}
		r.answers.pop()
		if e.answerBytes == 0 {
			continue
		}
		r.totalAnswerBytes -= int(e.answerBytes)
		e.answerBytes = 0
		e.answer = &wire.Answer{
			Key: e.key, Outcome: e.answer.Outcome, State: e.answer.State, Reason: wire.Reason_REASON_ANSWER_DROPPED,
		}
	}
}

// Snapshot returns all records in the order in which they were added.
func (r *Recorder) Snapshot() []Record {
	out, _, _ := r.Chunk(0, len(r.byPosition), int(^uint(0)>>1))
	return out
}

// Chunk returns the records after a position, at most limit of them and with about maxBytes of answers, the position of
// the last one, and whether more records follow. Records that are added later have larger positions.
func (r *Recorder) Chunk(after uint64, limit, maxBytes int) (out []Record, position uint64, more bool) {
	i := uint64(0)
	if after >= r.firstPosition {
		i = after - r.firstPosition + 1
	}
	position = after
	for ; i < uint64(len(r.byPosition)); i++ {
		e := r.byPosition[i]
		if e == nil {
			continue
		}
		if len(out) >= limit || maxBytes <= 0 {
			return out, position, true
		}
		out = append(out, e.record())
		maxBytes -= int(e.answerBytes)
		position = e.position
	}
	return out, position, false
}

// issueTimeHeap orders entries by issue time, which differs from the order in which they are added.
type issueTimeHeap []*entry

func (h issueTimeHeap) Len() int           { return len(h) }
func (h issueTimeHeap) Less(i, j int) bool { return h[i].issuedMillis < h[j].issuedMillis }
func (h issueTimeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = int32(i), int32(j)
}

// Push implements heap.Interface.
func (h *issueTimeHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = int32(len(*h))
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *issueTimeHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// answerQueue holds entries in the order in which they were answered. An entry that was answered twice is in it twice.
type answerQueue struct {
	items []*entry
	head  int
}

func (q *answerQueue) push(e *entry) { q.items = append(q.items, e) }

func (q *answerQueue) front() *entry {
	if q.head == len(q.items) {
		return nil
	}
	return q.items[q.head]
}

func (q *answerQueue) pop() {
	q.items[q.head] = nil
	q.head++
	if q.head > len(q.items)/2 {
		q.items = append([]*entry(nil), q.items[q.head:]...)
		q.head = 0
	}
}
