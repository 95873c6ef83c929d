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

// markedChange returns a change whose content contains a mark, as the name of the only task of the service marked.
func (b *testbed) markedChange(v *launcher.VM, id, mark string) listener.ChangeRequest {
	ch := b.Change(v, id)
	ch.Author = "author of " + id
	ch.Files = []listener.FileChange{{
		Service: "marked", Content: json.RawMessage(fmt.Sprintf(`{"service":"marked","tasks":[{"name":%q,"timeout":"1s"}]}`, mark)),
	}}
	return ch
}

// markInForce returns the mark of the change that an entry VM has in force, or an empty text without one.
func (b *testbed) markInForce(v *launcher.VM) string {
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

// proposeUntilDecided sends a change under the same ID until the voters have decided on it, as an operator does who has
// received no answer.
func (b *testbed) proposeUntilDecided(v *launcher.VM, ch listener.ChangeRequest) (a listener.ChangeAnswer) {
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if a = b.Propose(v, ch); a.Verdict == stager.Accepted || a.Verdict == "conflict" || a.Verdict == "invalid" {
			return a
		}
	}
	return a
}

// proposeUntilAccepted sends a change on top of the newest version until it is accepted, and returns the answer.
func (b *testbed) proposeUntilAccepted(v *launcher.VM, ch listener.ChangeRequest) (a listener.ChangeAnswer) {
	b.t.Helper()
	b.waitUntil("change "+ch.ID+" is accepted", func() bool {
		if a = b.proposeUntilDecided(v, ch); a.Verdict == "conflict" {
			ch.BaseVersion = a.Version // the entry VM lagged behind
		}
		return a.Verdict == stager.Accepted
	})
	return a
}

// waitLeader waits until all running entry VMs report the same leader of the voters, and returns it.
func (b *testbed) waitLeader() (leader *launcher.VM) {
	b.t.Helper()
	b.waitUntil("one leader", func() bool {
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

// TestRacingOperators guards against two concurrent changes on the same base version that are both accepted, a conflict
// that names the wrong winner, and a change that takes effect again when it is sent again.
func TestRacingOperators(t *testing.T) {
	b := newTestbed(t, threeDomains, 0)
	var last listener.ChangeRequest
	var first listener.ChangeAnswer
	for round := range 5 {
		base := b.Configuration(b.VMs[0]).Version
		var reqs [2]listener.ChangeRequest
		var answers [2]listener.ChangeAnswer
		var wg sync.WaitGroup
		for i := range reqs {
			id := fmt.Sprintf("race-%d-%d", round, i)
			reqs[i] = b.markedChange(b.VMs[0], id, id)
			reqs[i].BaseVersion = base
			via := b.VMs[(round+3*i)%len(b.VMs)]
			wg.Go(func() { answers[i] = b.proposeUntilDecided(via, reqs[i]) })
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
		b.waitSameVersion(w.Version)
	}
	b.proposeUntilAccepted(b.VMs[0], b.markedChange(b.VMs[0], "later", "later"))
	leader := b.waitLeader()
	again := func(when string) {
		t.Helper()
		for _, v := range b.VMs {
			if v.Process() == nil {
				continue
			}
			if a := b.proposeUntilDecided(v, last); a != first {
				t.Errorf("%s, through %s: answer %+v, the first one was %+v", when, v.Name, a, first)
			}
		}
	}
	again("sent again")
	leader.Kill()
	b.waitLeader()
	again("without the former leader")
	if err := b.Start(leader); err != nil {
		t.Fatal(err)
	}
	b.waitUntil("the former leader is ready", func() bool { return leader.WaitReady(time.Second) == nil })
	again("after the restart of the former leader")
	other := last
	other.Files = b.markedChange(b.VMs[0], last.ID, "other").Files
	if a := b.proposeUntilDecided(b.VMs[1], other); a.Verdict != "conflict" {
		t.Errorf("the same id with other content: verdict %q, want conflict", a.Verdict)
	}
	if mark := b.markInForce(b.VMs[0]); mark != "later" {
		t.Errorf("changes that were sent again left %q in force, want later", mark)
	}
}

// TestWipedDisk guards against a voter that votes after its data was deleted, one that is never readmitted, and a
// readmission that does not count towards the majority when another voter is lost immediately afterwards.
func TestWipedDisk(t *testing.T) {
	b := newTestbed(t, threeDomains, 0)
	leader := b.waitLeader()
	wiped, other := b.vm("rabat-b-1"), b.vm("tanger-c-1")
	if leader == wiped {
		wiped = b.vm("casa-a-1")
	}
	if leader == other {
		other = b.vm("casa-a-1")
	}
	wiped.Kill()
	if err := os.RemoveAll(wiped.Settings.DataFolder); err != nil {
		t.Fatal(err)
	}
	// Without contact to the other voters it keeps the role with which it restarts.
	b.setCut(true, wiped)
	if err := b.Start(wiped); err != nil {
		t.Fatal(err)
	}
	b.waitUntil(wiped.Name+" restarts as a learner", func() bool { return b.status(wiped).Role == "learner" })
	if a := b.Propose(wiped, b.markedChange(leader, "alone", "alone")); a.Verdict != "noMajority" {
		t.Errorf("change at the learner: verdict %q, want noMajority", a.Verdict)
	}
	b.setCut(false, wiped)
	b.waitUntil(wiped.Name+" is a voter again", func() bool {
		role := b.status(wiped).Role
		return role == "voter" || role == "leader"
	})
	other.Kill()
	a := b.proposeUntilAccepted(wiped, b.markedChange(wiped, "repaired", "repaired"))
	b.waitSameVersion(a.Version)
	if err := b.Start(other); err != nil {
		t.Fatal(err)
	}
	b.waitSameVersion(a.Version)
}

// TestRestartAfterManyChanges guards against a restarted process that shows an older version than before, or never
// reaches the newest. 300 changes are more than a configuration source sends one by one, so that it sends the whole
// configuration.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 300
	b := newTestbed(t, threeDomains, 0)
	ch, v := b.markedChange(b.VMs[0], "", "0"), b.VMs[0]
	publish := func(n int) {
		for range n {
			ch.ID = fmt.Sprintf("change-%d", ch.BaseVersion)
			ch.Files = b.markedChange(v, ch.ID, ch.ID).Files
			ch.BaseVersion = b.proposeUntilAccepted(v, ch).Version
		}
	}
	publish(changes)
	b.waitSameVersion(ch.BaseVersion)
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
		b.waitUntil(d.Name+" has the newest version", func() bool {
			got := b.Configuration(d).Version
			if got > 0 && got < before {
				t.Errorf("%s shows version %d after its restart, it had %d", d.Name, got, before)
			}
			return got == ch.BaseVersion
		})
	}
	b.waitSameVersion(ch.BaseVersion)
}
