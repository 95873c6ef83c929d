package flooder

import (
	"fmt"
	"strings"
)

// repeated returns a behaviour that sends a whole body with as many elements as fit into it.
func repeated(name, before, element, after string) behaviour {
	return behaviour{name: name, pieces: func(r requestShape) [][]byte {
		n := (r.bodyBytes - len(before) - len(after)) / len(element)
		body := before + strings.Repeat(element, n) + after
		header := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", r.method, r.path, testHost, len(body))
		return [][]byte{header, []byte(body)}
	}}
}
