package crowd_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// openSession opens a session of an entry at a target process, which tells that the engine needs
// a model, until the test ends.
func openSession(t *testing.T, address, model string) {
	nc, err := net.DialTimeout("tcp", address, startTime)
	for deadline := time.Now().Add(startTime); err != nil && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		nc, err = net.DialTimeout("tcp", address, startTime)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	conn := wire.NewConn(nc)
	if _, err := conn.Handshake(wire.Hello{Process: "entry", Role: wire.RoleEntry, State: wire.StateServing}); err != nil {
		t.Fatal(err)
	}
	if err := conn.Write(&wire.EngineSettings{Revision: 1, MaxRunning: 4, MemoryMB: 100, Models: []wire.EngineModel{{Name: model, WeightsMB: 10}}}); err != nil {
		t.Fatal(err)
	}
	go func() {
		for n := uint64(1); conn.Write(&wire.Ping{Sequence: n}) == nil; n++ {
			time.Sleep(time.Second)
		}
	}()
	go func() {
		for {
			if _, err := conn.Read(0); err != nil {
				return
			}
		}
	}()
}

// TestFaultyOrders lets an engine answer orders with bytes without end. It guards against a target
// process that exceeds its memory or its descriptors, ends, or gives no order to the engine once
// that is sound.
func TestFaultyOrders(t *testing.T) {
	binDir := build(t, "agate-target")
	for _, c := range []struct {
		name   string
		answer faultyAnswer
	}{
		{"a header line", sends("X: ", "", text(16<<10), 0)},
		{"many header lines", sends(shortLines(largestHead)+"\r\n", "", "{", time.Millisecond)},
		{"a head byte by byte", sends("X: ", "", "x", time.Millisecond)},
		{"a body as fast as it is read", sends("\r\n", "", text(64<<10), 0)},
		{"a body byte by byte", sends(chunkedBody, "", chunk(" "), time.Millisecond)},
		{"a body with an encoding", sends("Content-Encoding: gzip\r\n\r\n", compressed(), "", time.Millisecond)},
		{"chunk extensions", sends(chunkedBody+"1;", "", text(16<<10), 0)},
		{"trailers", sends(chunkedBody, chunk("{}")+"0\r\n", "X: y\r\n", 0)},
		{"interim answers", func(c net.Conn, _ string) {
			_, err := io.WriteString(c, "HTTP/1.1 103 Early\r\nX: y\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, "HTTP/1.1 103 Early\r\n"+shortLines(largestHead)+"\r\n")
			}
		}},
		{"refusals with a body", func(c net.Conn, _ string) {
			_, err := io.WriteString(c, "HTTP/1.1 409 X\r\n"+chunkedBody)
			for err == nil {
				_, err = io.WriteString(c, chunk(text(64<<10)))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			skipListed(t)
			accepted := make(chan bool, 1)
			orders := &faultyServer{answer: c.answer, sound: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusAccepted)
				select {
				case accepted <- true:
				default:
				}
			})}
			faulty := orders.handler()
			e, _ := startTarget(t, binDir, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/order" {
					faulty.ServeHTTP(w, r)
					return
				}
				_, _ = io.WriteString(w, `{"models":[],"born":1}`)
			})))
			openSession(t, e.peers, "m")
			time.Sleep(faultyTime)
			if orders.answered.Load() == 0 {
				t.Error("the target process has given no order")
			}
			t.Logf("%d orders", orders.answered.Load())
			orders.turned.Store(true)
			select {
			case <-accepted:
			case <-time.After(startTime):
				t.Error("the target process gives no order to its engine once that is sound")
			}
			e.checkBounds()
		})
	}
}
