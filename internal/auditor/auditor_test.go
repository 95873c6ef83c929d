package auditor_test

import (
	"encoding/json"
	"fmt"

	"clementineyard/internal/auditor"
	"clementineyard/wire"
)

// Accepted and refused changes are merged in the order of their times.
func ExampleAuditor_Trail() {
	a := &auditor.Auditor{}
	a.RecordRefusal(&wire.AuditRecord{
		Id: "c2", Author: "ines@cli", UnixMillis: 2000, ToVersion: 1, Outcome: wire.ChangeResult_VERDICT_CONFLICT, Services: []string{"rallyDesk"},
	})
	accepted := []*wire.AuditRecord{
		{Id: "c1", Author: "omar@cli", UnixMillis: 1000, ToVersion: 1, Outcome: wire.ChangeResult_VERDICT_ACCEPTED, Services: []string{"rallyDesk"}},
		{Id: "c3", Author: "ines@cli", UnixMillis: 3000, FromVersion: 1, ToVersion: 2, Outcome: wire.ChangeResult_VERDICT_ACCEPTED},
	}
	for _, r := range a.Trail(accepted) {
		b, err := json.Marshal(r)
		if err != nil {
			fmt.Println(err)
		}
		fmt.Println(string(b))
	}
	// Output:
	// {"id":"c1","author":"omar@cli","time":"1970-01-01T00:00:01Z","fromVersion":0,"toVersion":1,"outcome":"accepted","services":["rallyDesk"]}
	// {"id":"c2","author":"ines@cli","time":"1970-01-01T00:00:02Z","fromVersion":0,"toVersion":1,"outcome":"conflict","services":["rallyDesk"]}
	// {"id":"c3","author":"ines@cli","time":"1970-01-01T00:00:03Z","fromVersion":1,"toVersion":2,"outcome":"accepted","services":[]}
}
