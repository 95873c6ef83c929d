package recorder

import (
	"container/heap"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// entry is a record as the table holds it: small, since the table holds hundreds of thousands.
type entry struct {
	key         string
	content     string
	team        string
	answer      *wire.Answer
	issuedMilli int64
	epoch       uint64
	position    uint64
	answerBytes int32
	taskCount   int32
	age         int32
	state       wire.State
	pending     bool
}

func (e *entry) issued() time.Time { return time.UnixMilli(e.issuedMilli) }

func (e *entry) hash() []byte { return []byte(e.content) }

func (e *entry) record() Record {
	home, rest, _ := strings.Cut(e.key, ".")
	_, random, _ := strings.Cut(rest, ".")
	return Record{
		Key: Key{Home: home, Issued: e.issued(), Random: random}, ContentHash: e.hash(), Team: e.team,
		TaskCount: int(e.taskCount), State: e.state, Epoch: e.epoch, Answer: e.answer,
	}
}

func (r *Recorder) add(rec Record) *entry {
	team, ok := r.teams[rec.Team]
	if !ok {
		team = strings.Clone(rec.Team)
		r.teams[team] = team
	}
	e := &entry{
		key: rec.Key.String(), content: string(rec.ContentHash), team: team, issuedMilli: rec.Key.Issued.UnixMilli(),
		epoch: rec.Epoch, position: r.first + uint64(len(r.order)), taskCount: int32(rec.TaskCount),
		state: wire.State_STATE_ACCEPTED,
	}
	r.records[e.key] = e
	r.order = append(r.order, e)
	heap.Push(&r.byAge, e)
	r.bytes += entryOverhead + len(e.key)
	return e
}

func (r *Recorder) remove(e *entry) {
	heap.Remove(&r.byAge, int(e.age))
	delete(r.records, e.key)
	r.bytes -= entryOverhead + len(e.key)
	r.answered -= int(e.answerBytes)
	e.answer, e.answerBytes = nil, 0
	r.order[e.position-r.first] = nil
	r.compact()
}

// compact cuts the forgotten front off; holes further back stay until the records before them are forgotten too.
func (r *Recorder) compact() {
	n := 0
	for n < len(r.order) && r.order[n] == nil {
		n++
	}
	if n < len(r.order)/4+1 {
		return
	}
	r.order = append([]*entry(nil), r.order[n:]...)
	r.first += uint64(n)
}

func (r *Recorder) setAnswer(e *entry, s wire.State, a *wire.Answer) {
	r.answered -= int(e.answerBytes)
	e.state, e.answer, e.answerBytes = s, a, int32(proto.Size(a))
	r.answered += int(e.answerBytes)
	r.answers.push(e)
}

// trimAnswers drops the bodies of the oldest answers beyond the budget, and what the queue still holds of forgotten
// records. What stays of an answer is the final state.
func (r *Recorder) trimAnswers() {
	for {
		e := r.answers.front()
		if e == nil || (e.answerBytes > 0 && r.answered <= r.cfg.AnswerBytes) {
			return
		}
		r.answers.pop()
		if e.answerBytes == 0 {
			continue
		}
		r.answered -= int(e.answerBytes)
		e.answerBytes = 0
		e.answer = &wire.Answer{
			Key: e.key, Outcome: e.answer.Outcome, State: e.answer.State, Reason: wire.Reason_REASON_ANSWER_DROPPED,
		}
	}
}

// Snapshot returns all records in the order of their arrival.
func (r *Recorder) Snapshot() []Record {
	out, _, _ := r.Chunk(0, len(r.order), int(^uint(0)>>1))
	return out
}

// Chunk returns records after a position, at most limit of them and about maxBytes of answers, the position of the
// last one, and whether more follow. Records that are added later have larger positions.
func (r *Recorder) Chunk(after uint64, limit, maxBytes int) (out []Record, position uint64, more bool) {
	i := uint64(0)
	if after >= r.first {
		i = after - r.first + 1
	}
	position = after
	for ; i < uint64(len(r.order)); i++ {
		e := r.order[i]
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

// ageHeap orders entries by issue time; keys do not arrive in that order.
type ageHeap []*entry

func (h ageHeap) Len() int           { return len(h) }
func (h ageHeap) Less(i, j int) bool { return h[i].issuedMilli < h[j].issuedMilli }
func (h ageHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].age, h[j].age = int32(i), int32(j)
}

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) {
	e := x.(*entry)
	e.age = int32(len(*h))
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// answerQueue lists entries in the order in which they were answered. An entry answered twice stands in it twice.
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
