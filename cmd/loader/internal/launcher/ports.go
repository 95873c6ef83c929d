package launcher

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// The allocated ports lie below the kernel's range of ephemeral ports, so that no outgoing connection takes one between
// its allocation and the start of the process that binds it.
const (
	firstPort = 10000
	portCount = 20000
)

var portAllocator = struct {
	mu   sync.Mutex
	next int
	once sync.Once
}{}

// FreeAddress returns a loopback address whose port is free for TCP and UDP. The port is not returned again until all
// others of the range have been tried.
func FreeAddress() (string, error) {
	portAllocator.once.Do(func() { portAllocator.next = rand.IntN(portCount) })
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	for range portCount {
		port := firstPort + portAllocator.next%portCount
		portAllocator.next++
		if address := fmt.Sprintf("127.0.0.1:%d", port); isFree(address) {
			return address, nil
		}
	}
	return "", eris.New("allocate port: no port is free for both TCP and UDP")
}

func isFree(address string) bool {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	udp, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
