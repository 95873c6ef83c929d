package runner

import "testing"

// A server must get no more tasks at the same time than connections may be opened to it: the other tasks would fail
// without being sent and count as failures of the server.
func TestConnectionsAreCapped(t *testing.T) {
	for announced, want := range map[int64]int{1: 1, 64: 64, 65: 64, 1 << 40: 64, 0: 64} {
		if got := connections(announced); got != want {
			t.Errorf("%d announced connections count as %d, want %d", announced, got, want)
		}
	}
}
