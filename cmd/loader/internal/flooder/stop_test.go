package flooder

import (
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"clementineyard/internal/acceptor"
)

// TestStopUnderFlood guards against crowds at all listeners that keep a process from ending when it is told to, and an entry process
// from answering when it starts again amid them.
func TestStopUnderFlood(t *testing.T) {
	for _, c := range subjects {
		t.Run(c.name, func(t *testing.T) {
			s := c.new(t)
			if c.name == "daemon" {
				// Each of its three listeners for requests has a limit of its own. A connection takes 20 KiB, and as much as its two
				// buffers in the kernel, which Linux makes twice as large as set.
				const furtherConnections = 2 * daemonConnections
				s.descriptors += furtherConnections
				s.memoryMB += furtherConnections * (acceptor.ConnectionBytes + 4*acceptor.ControlBuffer) >> 20
			}
			stop := s.watch()
			endCrowds := s.floodAll(c.listeners)
			defer endCrowds()
			time.Sleep(settlingTime)
			if err := syscall.Kill(s.pid, syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			select {
			case <-s.ended:
			case <-time.After(answerTimeout):
				t.Fatal("the process has not ended")
			}
			stop()
			if s.restart == nil {
				s.checkBounds(t)
				return
			}
			if os.Getenv("KNOWN_RED") == "" {
				t.Log("bounds and the restart are listed in KNOWN-RED.txt, checked with KNOWN_RED=1")
				return
			}
			s.checkBounds(t)
			s = s.restart()
			stop = s.watch()
			time.Sleep(blockedWriteTime + settlingTime) // A crowd may be blocked for as long before it comes again.
			err := eventually(s.ordinary)
			stop()
			if err != nil {
				t.Errorf("after the restart, an ordinary request is not answered: %v", err)
			}
			s.checkBounds(t)
		})
	}
}

// floodAll has a crowd of a quarter of the usual size for each behaviour, which comes again until the function that it returns is called.
func (s *subject) floodAll(listeners []crowdedListener) (end func()) {
	var crowds sync.WaitGroup
	ended := make(chan struct{})
	for i, listener := range listeners {
		for _, b := range listener.behaviours {
			c := newCrowd(s.targets[i], b)
			c.clients /= 4
			crowds.Go(func() {
				for {
					closeAll := c.flood()
					select {
					case <-ended:
						closeAll()
						return
					case <-time.After(settlingTime):
						closeAll()
					}
				}
			})
		}
	}
	return func() {
		close(ended)
		crowds.Wait()
	}
}
