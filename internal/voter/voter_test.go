package voter

import (
	"testing"
	"time"
)

// TestVoterIsReplacedInTime guards against a loss of majority as a gone voter was not replaced yet.
func TestVoterIsReplacedInTime(t *testing.T) {
	for _, catchUpTime := range []time.Duration{4 * time.Second, 6 * time.Second, 30 * time.Second} {
		// A leader that is gone is noticed after at most two election timeouts; its successor then counts its silence anew.
		if takes := 2*electionTimeout + replaceAfter(catchUpTime); takes > catchUpTime-electionTimeout {
			t.Errorf("a voter is replaced after %v, while the next may be lost after %v", takes, catchUpTime)
		}
	}
	if replaceAfter(0) != maxReplaceAfter {
		t.Errorf("a voter is replaced after %v where no time is stated, want %v", replaceAfter(0), maxReplaceAfter)
	}
}
