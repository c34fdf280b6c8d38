package crowd_test

import (
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform/standin"
)

// faultyPeers is the number of connections of faulty peers. Their frames take many times the
// memory of the VM.
const faultyPeers = 300

// holdFrames opens connections to an address, sends a frame of the largest size but its last
// byte on each, opens those anew that end, and returns after a time.
func holdFrames(address string, during func()) {
	frame := make([]byte, 4+wire.MaxFrameBytes-1)
	binary.BigEndian.PutUint32(frame, wire.MaxFrameBytes)
	frame[4] = byte(wire.KindHello)
	leave := make(chan struct{})
	var open sync.WaitGroup
	for range faultyPeers {
		open.Add(1)
		go func() {
			defer open.Done()
			for {
				if c, err := net.DialTimeout("tcp", address, sendTime); err == nil {
					_ = c.SetDeadline(time.Now().Add(sendTime))
					go func() { _, _ = c.Write(frame) }()
					one := make([]byte, 1<<10)
					for err == nil {
						_, err = c.Read(one)
					}
					_ = c.Close()
				}
				select {
				case <-leave:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	}
	time.Sleep(faultyTime)
	during()
	close(leave)
	open.Wait()
}

// TestFaultyPeers guards against a process that exceeds its memory because peers announce large
// frames on many connections and do not finish them.
func TestFaultyPeers(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		skipListed(t)
		store := standin.NewStore()
		e := startWith(t, build(t, "agate-entry"), store, http.HandlerFunc(answer), "", serve(t, store))
		holdFrames(e.peers, func() {
			if status := e.request(1000); status != http.StatusOK {
				t.Errorf("an ordinary request got status %d", status)
			}
		})
		e.checkAfter()
	})
	t.Run("target process", func(t *testing.T) {
		skipListed(t)
		engine := serve(t, http.HandlerFunc(answer))
		e, _ := startTarget(t, build(t, "agate-target"), engine)
		holdFrames(e.peers, func() {})
		e.checkBounds()
	})
}
