package notifier

import (
	"time"

	"clementineyard/wire"
)

// This file passes on the surveys of cells from their owners to the other entry VMs, so that an owner needs no connection to every
// register. It answers the loss of all owners at once.

// surveyBatchInterval is how long surveys are batched into one reply. After a loss of power all cells send one within 0.2 s, and
// each reply goes to every entry VM.
const surveyBatchInterval = 50 * time.Millisecond

// surveys holds the newest survey of each cell.
type surveys struct {
	// sequence is the number of the last change, and published that of the last one that is passed on, since publishedAt.
	sequence, published uint64
	publishedAt         time.Time
	newest              map[string]numberedSurvey
}

type numberedSurvey struct {
	*wire.CellSurvey
	sequence uint64
}

// record adopts the surveys that are newer. An owner's fence grows, and so does the index of its surveys.
func (s *surveys) record(received []*wire.CellSurvey) {
	for _, r := range received {
		held := s.newest[r.Cell].CellSurvey
		if held != nil && (r.Fence < held.Fence || r.Fence == held.Fence && r.Index <= held.Index) {
			continue
		}
		if s.newest == nil {
			s.newest = map[string]numberedSurvey{}
		}
		s.sequence++
		s.newest[r.Cell] = numberedSurvey{r, s.sequence}
	}
}

// publish passes on the changes so far, unless it has just done so.
func (s *surveys) publish(now time.Time) {
	if s.published < s.sequence && now.Sub(s.publishedAt) >= surveyBatchInterval {
		s.published, s.publishedAt = s.sequence, now
	}
}

// since returns the published surveys that have changed after the given number.
func (s *surveys) since(sequence uint64) []*wire.CellSurvey {
	var out []*wire.CellSurvey
	for _, r := range s.newest {
		if r.sequence > sequence && r.sequence <= s.published {
			out = append(out, r.CellSurvey)
		}
	}
	return out
}

// heldSurveySequence returns the number of this voter's last survey that the sender of a watch holds; 0 when it holds none of
// this incarnation.
func (n *Notifier) heldSurveySequence(w *wire.Watch) uint64 {
	if w.VoterIncarnation != n.cfg.Incarnation {
		return 0
	}
	return w.SurveySequence
}

// rostersSince returns the rosters after the index that the sender of a watch holds, of cells of its failure domain.
func rostersSince(s *wire.AgreedState, w *wire.Watch) []*wire.CellRoster {
	var out []*wire.CellRoster
	for _, r := range s.Rosters {
		if r.Index > w.Index && r.FailureDomain == w.FailureDomain {
			out = append(out, r)
		}
	}
	return out
}
