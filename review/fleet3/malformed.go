package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// malformedTime is how long malformed calls are sent.
const malformedTime = 40 * time.Second

// oddValues are JSON values that stand for the value of a field.
var oddValues = []string{
	`null`, `-1`, `0`, `1`, `1e308`, `-1e308`, `1e999`, `9223372036854775807`, `-9223372036854775808`, `18446744073709551615`, `4294967296`, `0.5`,
	`""`, `"x"`, `"127.0.0.1:1"`, `"127.0.0.1:99999"`, `":"`, `"[::"`, `"\u0000"`, `"` + strings.Repeat("y", 70000) + `"`, `[]`, `{}`, `[null]`, `[[[[]]]]`, `[0]`, `[1,1]`,
	`[-1]`, `[99]`, `true`, `false`, `{"cpu":-1}`, `[{"count":1}]`, strings.Repeat("[", 20000),
}

// mutated returns JSON content with one to three values replaced by odd ones, or cut short.
func mutated(content string) string {
	var parsed any
	if json.Unmarshal([]byte(content), &parsed) != nil {
		return content
	}
	var marks []string
	for range 1 + rand.IntN(3) {
		mark := fmt.Sprintf("mark-%d", len(marks))
		parsed = replaceOne(parsed, mark)
		marks = append(marks, mark)
	}
	out, err := json.Marshal(parsed)
	if err != nil {
		return content
	}
	s := string(out)
	for _, mark := range marks {
		s = strings.Replace(s, `"`+mark+`"`, oddValues[rand.IntN(len(oddValues))], 1)
	}
	if rand.IntN(20) == 0 {
		s = s[:rand.IntN(len(s)+1)]
	}
	return s
}

// replaceOne replaces a random value within v.
func replaceOne(v any, mark string) any {
	switch v := v.(type) {
	case map[string]any:
		if len(v) == 0 || rand.IntN(8) == 0 {
			return mark
		}
		k := rand.IntN(len(v))
		for name := range v {
			if k--; k < 0 {
				if rand.IntN(10) == 0 {
					delete(v, name)
				} else {
					v[name] = replaceOne(v[name], mark)
				}
				break
			}
		}
		return v
	case []any:
		if len(v) == 0 || rand.IntN(8) == 0 {
			return mark
		}
		k := rand.IntN(len(v))
		v[k] = replaceOne(v[k], mark)
		return v
	}
	return mark
}

// jobWithOptions returns a job with some of the optional fields of the protocol.
func jobWithOptions() string {
	phases := []phase{{count: rand.IntN(4), cpu: 500, estimate: 30 * time.Millisecond}, {count: 3, cpu: 500, estimate: 40 * time.Millisecond, after: []int{0}}}
	for i := range phases {
		for _, extra := range []string{
			`"checkpointing":true`, `"gang":true`, `"same-rack":true`, `"requirements":"a"`, `"data-rack":"r1-1"`, `"anti-affinity":2`, `"speculative":true`, `"image":"m"`, `"target-ms":50`,
			`"utilization":true`, `"miss-budget":1`, `"gpu":1`, `"data-rack":""`, `"anti-affinity":1`, `"count":300`, `"depends-on":[0,0]`,
		} {
			if rand.IntN(6) == 0 {
				phases[i].extra += "," + extra
			}
		}
	}
	body := submission(phases)
	for _, extra := range []string{`"long-running":true`, `"repeat-count":3,"first-ms":0,"interval-ms":100`, `"best-effort":false`, `"best-effort":false`, `"x":1`} {
		if rand.IntN(8) == 0 {
			body = strings.Replace(body, "{", "{"+extra+",", 1)
		}
	}
	return body
}

// sendMalformed sends malformed reports, jobs and desired states, and then checks that all processes run and serve.
func sendMalformed(f *fleet, trouble bool) (broken []string, err error) {
	desired := fmt.Sprintf(`{"version":%%d,"routes":[%s],"services":[{"name":%q,"health-path":"/healthz","max-conns":64,"protocol":"h1","tls":false,"admission-check":false,`+
		`"standby":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, route(15*time.Second), service)
	var mu sync.Mutex
	version := 10
	until := time.Now().Add(malformedTime)
	var senders sync.WaitGroup
	for range 6 {
		if !trouble {
			break
		}
		senders.Go(func() {
			for time.Now().Before(until) {
				v, e := f.voters()[rand.IntN(3)], f.entries("")[rand.IntN(len(f.entries("")))]
				switch rand.IntN(5) {
				case 0, 1:
					w := f.workers[rand.IntN(len(f.workers))]
					report := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"born":%d,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},`+
						`"labels":["a","r1-1"],"clock-ms":%d,"sequence":%d}`, service, w.address, w.zone, w.bornAt.UnixMilli(), w.clock(time.Now()), rand.Uint32N(10))
					body := mutated(report)
					status, answer := f.call(http.MethodPut, v.controlAddress(), v.controlAddress(), "/clementineyard/instances/"+fmt.Sprintf("odd-%d", rand.IntN(50)), body, time.Second)
					f.record.printf("writer: PUT instance %s got %d %s", trim(body), status, trim(answer))
				case 2, 3:
					body := jobWithOptions()
					if rand.IntN(2) == 0 {
						body = mutated(body)
					}
					status, answer := f.call(http.MethodPost, e.clientAddress(), queueHost, prefix+newJobID(), body, 2*time.Second)
					f.record.printf("client: POST %s got %d %s", trim(body), status, trim(answer))
				case 4:
					if time.Until(until) > malformedTime/4 {
						continue
					}
					mu.Lock()
					version++
					body := mutated(fmt.Sprintf(desired, version))
					mu.Unlock()
					status, answer := f.call(http.MethodPut, v.controlAddress(), v.controlAddress(), "/clementineyard/config", body, time.Second)
					if len(body) > 1500 {
						body = body[:1500]
					}
					f.record.printf("operator: PUT config %s got %d %s", body, status, trim(answer))
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	for _, n := range f.nodes {
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		select {
		case <-ended:
			broken = append(broken, "the process "+n.name+" has ended")
		default:
		}
	}
	if err := f.configure(1<<50, route(15*time.Second)); err != nil {
		return append(broken, err.Error()), nil
	}
	time.Sleep(3 * time.Second)
	if err := f.warmUp(); err != nil {
		broken = append(broken, err.Error())
	}
	return broken, nil
}
