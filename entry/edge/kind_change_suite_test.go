package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// kindChange is a route to two targets whose kind changes while a request of it runs at the
// first target that gets it.
type kindChange struct {
	f   *fleet
	ran *runCount
	// first is what that target does once the newer kind is in force, other what the other one does.
	first, other func(nc net.Conn, id string) bool
	began        atomic.Bool
}

// configTime is longer than entries need to apply a configuration.
const configTime = 700 * time.Millisecond

func (k *kindChange) configure(version int, fields map[string]any) {
	// Silent targets are replaced after 2.5 times the latency, when the newer kind is in force.
	all := map[string]any{"max_attempts": 3, "timeout_ms": 5500, "target_latency_ms": 400}
	for name, value := range fields {
		all[name] = value
	}
	kind := all["kind"].(string)
	delete(all, "kind")
	k.f.configure(version, map[string]any{"services": []map[string]any{{"name": "raw"}}}, route("call", "/call/", kind, "raw", all))
}

// start starts the targets, and an entry with the older form of the route.
func (k *kindChange) start(older, newer map[string]any) {
	k.f, k.ran = newFleet(0, 0), &runCount{}
	script := func(nc net.Conn, r *http.Request, _ int) bool {
		if !readBody(r) {
			return false
		}
		id := requestIDOf(r)
		k.ran.add(id)
		act := k.other
		if k.began.CompareAndSwap(false, true) {
			k.configure(3, newer)
			time.Sleep(configTime)
			act = k.first
		}
		return act(nc, id)
	}
	k.f.startScripted(&scriptedTarget{script: script}, &scriptedTarget{script: script})
	k.configure(2, older)
	k.f.start()
}

var (
	idempotentRoute = map[string]any{"kind": "idempotent"}
	onceRoute       = map[string]any{"kind": "non_idempotent"}
	resumableRoute  = map[string]any{"kind": "stream", "resumable": true}
	streamRoute     = map[string]any{"kind": "stream", "resumable": false}
)

var _ = Describe("A request whose route changes its kind while a target runs it", func() {
	cut := func(net.Conn, string) bool { return false }
	silent := func(nc net.Conn, id string) bool {
		time.Sleep(2 * time.Second)
		return answer(nc, id)
	}
	fail := func(status int) func(nc net.Conn, id string) bool {
		return func(nc net.Conn, id string) bool {
			_, err := io.WriteString(nc, head(status, id, "Content-Length: 2\r\n\r\nno"))
			return err == nil
		}
	}
	piece := func(nc net.Conn, id string) bool {
		_, _ = io.WriteString(nc, head(200, id, "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\nid: 1\ndata: x\n\n"))
		return false
	}

	// Guards against a second run of a request that may run once, by the configuration under which it
	// arrived or by the one in force.
	DescribeTable("runs once if either kind says so", func(older, newer map[string]any, first func(net.Conn, string) bool, status int) {
		k := &kindChange{first: first, other: answer}
		k.start(older, newer)
		a := k.f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		time.Sleep(100 * time.Millisecond)
		Expect(k.ran.of(a.id)).To(Equal(1), "%d %s", a.status, a.body)
		k.ran.expectOnce(a)
		Expect(a.status).To(Equal(status), a.body)
	},
		Entry("idempotent before, the target ends the connection", idempotentRoute, onceRoute, cut, 502),
		Entry("idempotent before, the target fails", idempotentRoute, onceRoute, fail(500), 500),
		Entry("idempotent before, the target says 503 without Not-Executed", idempotentRoute, onceRoute, fail(503), 502),
		Entry("idempotent before, the target is silent", idempotentRoute, onceRoute, silent, 200),
		Entry("idempotent after, the target ends the connection", onceRoute, idempotentRoute, cut, 502),
		Entry("idempotent after, the target is silent", onceRoute, idempotentRoute, silent, 200),
		Entry("idempotent after, the target says 503 without Not-Executed", onceRoute, idempotentRoute, fail(503), 502),
		Entry("resumable before, the target ends the connection before the first event", resumableRoute, streamRoute, cut, 502),
		Entry("resumable before, the target ends the connection within the stream", resumableRoute, streamRoute, piece, 200),
		Entry("resumable after, the target ends the connection before the first event", streamRoute, resumableRoute, cut, 502),
	)

	// Guards against less than what both kinds allow.
	It("is sent again if both kinds allow it", func() {
		k := &kindChange{first: cut, other: answer}
		k.start(idempotentRoute, map[string]any{"kind": "idempotent", "max_attempts": 2})
		a := k.f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		Expect(k.ran.of(a.id)).To(Equal(2))
		Expect(a.status).To(Equal(200), a.body)
	})
})
