package edge_test

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform/standin"
)

// serveFormerTargetProcess accepts sessions like a target process of a build that keeps no
// facts: it admits every request, and counts the messages that it would not know.
func serveFormerTargetProcess(address string) (unknown *atomic.Int64) {
	unknown = new(atomic.Int64)
	l := listen(address)
	DeferCleanup(l.Close)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serveFormerSession(nc, address, unknown)
		}
	}()
	return unknown
}

func serveFormerSession(nc net.Conn, address string, unknown *atomic.Int64) {
	c := wire.NewConn(nc)
	defer c.Close()
	if _, err := c.Handshake(wire.Hello{Process: address, Role: wire.RoleTarget, State: wire.StateServing, FailureDomain: "z1"}); err != nil {
		return
	}
	_ = c.Write(&wire.EngineReport{HasAdapterLists: true})
	for {
		message, err := c.Read(0)
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *wire.Reserve:
			_ = c.Write(&wire.Reserved{ID: m.ID})
		case *wire.Ping:
			_ = c.Write(&wire.Pong{Sequence: m.Sequence})
		case *wire.Remember, *wire.Recall:
			unknown.Add(1)
		}
	}
}

var _ = Describe("A target process of a former build", func() {
	// Guards against messages that make it close the connection, and against streams that
	// wait for its reply.
	It("is not asked to keep anything, and no stream waits for it", func() {
		f := newFleet(0, 0)
		r := standin.NewReplica("e-0", "m", 2)
		address := f.serve(f.engineIP(0), r)
		unknown := serveFormerTargetProcess(net.JoinHostPort(f.engineIP(0), strconv.Itoa(f.port)))
		f.engines = append(f.engines, r)
		f.store.Register(r, "llm", address, "z1", "ready")
		f.start()
		for range 5 {
			began := time.Now()
			a := f.call(context.Background(), 0, "POST", "/query/x", map[string]string{"Model": "m", "Token-Usage": "100,20"}, "prompt")
			Expect(a.status).To(Equal(200), a.body)
			Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		}
		Expect(unknown.Load()).To(BeZero())
	})
})
