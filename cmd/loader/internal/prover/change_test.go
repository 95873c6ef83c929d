package prover

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/stager"
	"clementineyard/internal/listener"
)

// marked returns a change whose content shows a mark.
func (b *bed) marked(v *launcher.VM, id, mark string) listener.ChangeRequest {
	ch := b.Change(v, id)
	ch.Author = "author of " + id
	ch.Files = []listener.FileChange{{
		Service: "marked", Content: json.RawMessage(fmt.Sprintf(`{"service":"marked","tasks":[{"name":%q,"timeout":"1s"}]}`, mark)),
	}}
	return ch
}

// markOf returns the mark that an entry VM has in force.
func (b *bed) markOf(v *launcher.VM) string {
	var f struct {
		Tasks []struct {
			Name string `json:"name"`
		} `json:"tasks"`
	}
	if json.Unmarshal(b.Configuration(v).Files["marked"], &f) != nil || len(f.Tasks) != 1 {
		return ""
	}
	return f.Tasks[0].Name
}

// decide sends a change with the same id until the voters have decided on it, as an operator does without an answer.
func (b *bed) decide(v *launcher.VM, ch listener.ChangeRequest) (a listener.ChangeAnswer) {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(pollEvery) {
		if a = b.Propose(v, ch); a.Verdict == stager.Accepted || a.Verdict == "conflict" || a.Verdict == "invalid" {
			return a
		}
	}
	return a
}

// accept makes a change that must be accepted, on top of the newest version.
func (b *bed) accept(v *launcher.VM, ch listener.ChangeRequest) (a listener.ChangeAnswer) {
	b.t.Helper()
	b.eventually("change "+ch.ID+" is accepted", func() bool {
		if a = b.decide(v, ch); a.Verdict == "conflict" {
			ch.BaseVersion = a.Version // the entry VM lagged behind
		}
		return a.Verdict == stager.Accepted
	})
	return a
}

// leader waits until all running entry VMs name the same leader of the configuration.
func (b *bed) leader() (leader *launcher.VM) {
	b.t.Helper()
	b.eventually("one leader", func() bool {
		leader = nil
		for _, v := range b.VMs {
			if v.Process() == nil {
				continue
			}
			l := b.vm(b.status(v).Leader)
			if l == nil || leader != nil && l != leader {
				return false
			}
			leader = l
		}
		return leader != nil && b.status(leader).Role == "leader"
	})
	return leader
}

// TestRacingOperators guards against two changes on one base that are both accepted, a conflict that names the wrong
// winner, and a change that is made again when it is sent again.
func TestRacingOperators(t *testing.T) {
	b := setUp(t, threeDomains, 0)
	var last listener.ChangeRequest
	var first listener.ChangeAnswer
	for round := range 5 {
		base := b.Configuration(b.VMs[0]).Version
		var reqs [2]listener.ChangeRequest
		var answers [2]listener.ChangeAnswer
		var wg sync.WaitGroup
		for i := range reqs {
			id := fmt.Sprintf("race-%d-%d", round, i)
			reqs[i] = b.marked(b.VMs[0], id, id)
			reqs[i].BaseVersion = base
			via := b.VMs[(round+3*i)%len(b.VMs)]
			wg.Go(func() { answers[i] = b.decide(via, reqs[i]) })
		}
		wg.Wait()
		won, lost := 0, 1
		if answers[1].Verdict == stager.Accepted {
			won, lost = 1, 0
		}
		w, l := answers[won], answers[lost]
		if w.Verdict != stager.Accepted || w.Version != base+1 || l.Verdict != "conflict" {
			t.Fatalf("round %d on base %d: answers %+v", round, base, answers)
		}
		if l.WinnerID != reqs[won].ID || l.WinnerAuthor != reqs[won].Author || l.WinnerVersion != w.Version {
			t.Errorf("round %d: conflict %+v does not name the winner %s at version %d", round, l, reqs[won].ID, w.Version)
		}
		last, first = reqs[won], w
		b.sameEverywhere(w.Version)
	}
	b.accept(b.VMs[0], b.marked(b.VMs[0], "later", "later"))
	leader := b.leader()
	again := func(when string) {
		t.Helper()
		for _, v := range b.VMs {
			if v.Process() == nil {
				continue
			}
			if a := b.decide(v, last); a != first {
				t.Errorf("%s, through %s: answer %+v, the first one was %+v", when, v.Name, a, first)
			}
		}
	}
	again("sent again")
	leader.Kill()
	b.leader()
	again("without the former leader")
	if err := b.Start(leader); err != nil {
		t.Fatal(err)
	}
	b.eventually("the former leader is ready", func() bool { return leader.WaitReady(time.Second) == nil })
	again("after the restart of the former leader")
	other := last
	other.Files = b.marked(b.VMs[0], last.ID, "other").Files
	if a := b.decide(b.VMs[1], other); a.Verdict != "conflict" {
		t.Errorf("the same id with other content: verdict %q, want conflict", a.Verdict)
	}
	if mark := b.markOf(b.VMs[0]); mark != "later" {
		t.Errorf("changes that were sent again left %q in force, want later", mark)
	}
}

// TestEmptiedDisk guards against a voter that votes with an emptied disk, one that is never repaired, and a repair that
// does not hold when another voter is lost right afterwards.
func TestEmptiedDisk(t *testing.T) {
	b := setUp(t, threeDomains, 0)
	leader := b.leader()
	emptied, other := b.vm("rabat-b-1"), b.vm("tanger-c-1")
	if leader == emptied {
		emptied = b.vm("casa-a-1")
	}
	if leader == other {
		other = b.vm("casa-a-1")
	}
	emptied.Kill()
	if err := os.RemoveAll(emptied.Settings.DataFolder); err != nil {
		t.Fatal(err)
	}
	// Without the others it stays what it comes back as.
	b.cut(true, emptied)
	if err := b.Start(emptied); err != nil {
		t.Fatal(err)
	}
	b.eventually(emptied.Name+" comes back as a learner", func() bool { return b.status(emptied).Role == "learner" })
	if a := b.Propose(emptied, b.marked(leader, "alone", "alone")); a.Verdict != "noMajority" {
		t.Errorf("change at the learner: verdict %q, want noMajority", a.Verdict)
	}
	b.cut(false, emptied)
	b.eventually(emptied.Name+" is a voter again", func() bool {
		role := b.status(emptied).Role
		return role == "voter" || role == "leader"
	})
	other.Kill()
	a := b.accept(emptied, b.marked(emptied, "repaired", "repaired"))
	b.sameEverywhere(a.Version)
	if err := b.Start(other); err != nil {
		t.Fatal(err)
	}
	b.sameEverywhere(a.Version)
}

// TestRestartAfterManyChanges guards against a restarted process that shows an older version than before, or never
// reaches the newest. 300 changes are more than a source sends one by one.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 300
	b := setUp(t, threeDomains, 0)
	ch, v := b.marked(b.VMs[0], "", "0"), b.VMs[0]
	publish := func(n int) {
		for range n {
			ch.ID = fmt.Sprintf("change-%d", ch.BaseVersion)
			ch.Files = b.marked(v, ch.ID, ch.ID).Files
			ch.BaseVersion = b.accept(v, ch).Version
		}
	}
	publish(changes)
	b.sameEverywhere(ch.BaseVersion)
	before := ch.BaseVersion
	down := []*launcher.VM{b.vm("rabat-b-1"), b.vm("tanger-c-2")}
	for _, d := range down {
		d.Kill()
	}
	publish(changes)
	for _, d := range down {
		if err := b.Start(d); err != nil {
			t.Fatal(err)
		}
		b.eventually(d.Name+" has the newest version", func() bool {
			got := b.Configuration(d).Version
			if got > 0 && got < before {
				t.Errorf("%s shows version %d after its restart, it had %d", d.Name, got, before)
			}
			return got == ch.BaseVersion
		})
	}
	b.sameEverywhere(ch.BaseVersion)
}
