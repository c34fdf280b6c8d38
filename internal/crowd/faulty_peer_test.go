package crowd_test

import (
	"bytes"
	"encoding/binary"
	"io"
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

// frameSenders is the number of peers that send whole frames again and again.
const frameSenders = 2

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

// emptyElements returns a frame of the largest size whose message has a list of many empty
// elements.
func emptyElements(kind wire.Kind, list string) []byte {
	body := append([]byte{0x81, 0xa0 | byte(len(list))}, list...)
	n := wire.MaxFrameBytes - 1 - len(body) - 5
	body = binary.BigEndian.AppendUint32(append(body, 0xdd), uint32(n))
	body = append(body, bytes.Repeat([]byte{0x80}, n)...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	return append(append(frame, byte(kind)), body...)
}

// sendFrames sends a frame again and again on some connections, for a time.
func sendFrames(t *testing.T, address string, role wire.Role, frame []byte) {
	var open sync.WaitGroup
	for range frameSenders {
		open.Add(1)
		go func() {
			defer open.Done()
			for end := time.Now().Add(faultyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				nc, err := net.DialTimeout("tcp", address, sendTime)
				if err != nil {
					continue
				}
				_ = nc.SetDeadline(end)
				if _, err := wire.NewConn(nc).Handshake(wire.Hello{Process: "peer", Role: role, State: wire.StateServing}); err != nil {
					t.Errorf("handshake: %v", err)
				}
				for err == nil {
					_, err = nc.Write(frame)
				}
				_ = nc.Close()
			}
		}()
	}
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

// TestLargeMessages guards against a process that exceeds its memory because messages of peers
// have many elements without content.
func TestLargeMessages(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		skipListed(t)
		store := standin.NewStore()
		e := startWith(t, build(t, "agate-entry"), store, http.HandlerFunc(answer), "", serve(t, store))
		sendFrames(t, e.peers, wire.RoleEntry, emptyElements(wire.KindItems, "i"))
		e.checkAfter()
	})
	t.Run("target process", func(t *testing.T) {
		skipListed(t)
		e, status := startTarget(t, build(t, "agate-target"), serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"models":[{"name":"sound","version":1,"adapters":[]}],"born":1}`)
		})))
		openSession(t, e.peers, "sound")
		sendFrames(t, e.peers, wire.RoleEntry, emptyElements(wire.KindRemember, "f"))
		if !knowsModel(status, "sound") {
			t.Error("the target process does not answer")
		}
		e.checkBounds()
	})
}
