package soak

import (
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"testing"
)

// Guards against a soak that fails because a process that is being started holds the listener of a backend server that has ended.
func TestBackendServerListensAgainWhileProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var starts sync.WaitGroup
	defer starts.Wait()
	defer close(stop)
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	s := &backendServer{vm: &vm{nodeIP: netip.AddrFrom4([4]byte{127, 79, byte(os.Getpid() >> 8), byte(os.Getpid())})}}
	for i := range 5000 {
		ln, err := s.listen()
		if err != nil {
			t.Fatalf("listen %d: %v", i, err)
		}
		ln.Close()
	}
}
