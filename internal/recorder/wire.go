package recorder

import (
	"clementineyard/wire"
)

// ToWire converts a record to the form in which members exchange it. The answer is shared, not copied.
func ToWire(rec Record) *wire.Record {
	return &wire.Record{
		Key: rec.Key.String(), ContentHash: rec.ContentHash, TaskCount: int32(rec.TaskCount), State: rec.State,
		Epoch: rec.Epoch, Answer: rec.Answer, Team: rec.Team,
	}
}

// FromWire converts records of another member. It skips records with an invalid key.
func FromWire(in []*wire.Record) []Record {
	out := make([]Record, 0, len(in))
	for _, w := range in {
		k, err := ParseKey(w.Key)
		if err != nil {
			continue
		}
		out = append(out, Record{
			Key: k, ContentHash: w.ContentHash, Team: w.Team, TaskCount: int(w.TaskCount), State: w.State, Epoch: w.Epoch,
			Answer: w.Answer,
		})
	}
	return out
}
