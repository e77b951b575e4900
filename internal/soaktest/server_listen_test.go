package soaktest

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestListenWhenFree checks that listenWhenFree succeeds when the address becomes free, and returns an
// error if the address stays in use.
func TestListenWhenFree(t *testing.T) {
	for _, c := range []struct {
		name  string
		freed bool
	}{
		{"freed", true},
		{"stays in use", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			held, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			closed := make(chan error, 1)
			if c.freed {
				time.AfterFunc(20*time.Millisecond, func() { closed <- held.Close() })
			}
			listener, err := listenWhenFree(held.Addr().String())
			if !c.freed {
				if !errors.Is(err, syscall.EADDRINUSE) {
					t.Errorf("error %v, want %v", err, syscall.EADDRINUSE)
				}
				closed <- held.Close()
			} else if err != nil {
				t.Fatal(err)
			} else if err := listener.Close(); err != nil {
				t.Error(err)
			}
			if err := <-closed; err != nil {
				t.Error(err)
			}
		})
	}
}
