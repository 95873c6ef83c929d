package launcher

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// callTimeout is longer than the 5 s that an entry VM takes at most to answer a change.
const callTimeout = 6 * time.Second

// CallOperators calls the operators' listener of an entry VM; see Call.
func (d *Deployment) CallOperators(v *VM, method, path string, in, out any) (int, error) {
	return d.Call(method, v.Settings.Listen.Operators+path, in, out)
}

// Call sends an HTTP request with the operators' token to address, which is a host:port and path without a scheme. The
// body is in as JSON, or empty when in is nil. Call decodes the JSON response into out, whatever its status, and
// returns the HTTP status.
func (d *Deployment) Call(method, address string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+address, body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+d.Token)
	c := http.Client{Timeout: callTimeout}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}
