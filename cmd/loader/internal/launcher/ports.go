package launcher

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// The ports handed out lie below the range that the kernel takes for outgoing connections, so that none is taken
// between the choice and the start of the process that binds it.
const (
	firstPort = 10000
	portCount = 20000
)

var ports = struct {
	mu   sync.Mutex
	next int
	once sync.Once
}{}

// FreeAddress returns a loopback address whose port is free for TCP and UDP and is not handed out again soon.
func FreeAddress() (string, error) {
	ports.once.Do(func() { ports.next = rand.IntN(portCount) })
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range portCount {
		port := firstPort + ports.next%portCount
		ports.next++
		if a := fmt.Sprintf("127.0.0.1:%d", port); isFree(a) {
			return a, nil
		}
	}
	return "", eris.New("no port is free")
}

func isFree(address string) bool {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	u, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return u.Close() == nil
}
