package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/knownred"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/platform/standin"
	"agatelanding.example/agatelanding/target/session"
)

// repetition says which answers a server sends too many.
type repetition struct {
	// before is the path of the requests whose answers follow a repeated one, empty for all.
	before string
	// every is the share of these requests on a connection, and back how many answers ago the
	// repeated one was.
	every, back int
	// gap is the time between the repeated answer and the next one.
	gap time.Duration
	// instead is what is sent instead of the repeated answer, empty for nothing, and first what
	// is sent before it.
	instead, first string
}

// serve serves a handler on a connection.
func (x repetition) serve(c net.Conn, handler http.Handler) {
	defer c.Close()
	var answers [][]byte
	r := bufio.NewReader(c)
	for n := 1; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if x.before == "" || x.before == req.URL.Path {
			if len(answers) >= x.back && n%x.every == 0 {
				extra := answers[len(answers)-x.back]
				if x.instead != "" {
					extra = []byte(x.instead)
				}
				_, _ = io.WriteString(c, x.first+string(extra))
				time.Sleep(x.gap)
			}
			n++
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		resp := w.Result()
		resp.ContentLength = int64(w.Body.Len())
		var b bytes.Buffer
		_ = resp.Write(&b)
		answers = append(answers, b.Bytes())
		if _, err := c.Write(b.Bytes()); err != nil || req.Close {
			return
		}
	}
}

// serveRepeating serves a handler with repeated answers and returns the address.
func serveRepeating(t *testing.T, handler http.Handler, x repetition) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c, handler)
		}
	}()
	return l.Addr().String()
}

// answer returns an answer without a body.
func answer(status string) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n" }

// repetitions are the cases of the tests.
var repetitions = map[string]repetition{
	"of each answer":                        {every: 1, back: 1},
	"of each answer, with a gap":            {every: 1, back: 1, gap: 20 * time.Millisecond},
	"before answers to orders":              {before: "/order", every: 1, back: 1},
	"before answers to orders, with a gap":  {before: "/order", every: 1, back: 1, gap: 20 * time.Millisecond},
	"before reports":                        {before: "/report", every: 1, back: 1},
	"before reports, of an older answer":    {before: "/report", every: 3, back: 3},
	"of an older answer before each fourth": {every: 4, back: 3},
	"of an older answer, with a gap":        {every: 4, back: 3, gap: 20 * time.Millisecond},
	"before every other answer to an order": {before: "/order", every: 2, back: 2},
	"after an interim response":             {every: 2, back: 1, first: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"before orders, accepted":               {before: "/order", every: 1, back: 1, instead: answer("202 Accepted")},
	"before orders, conflict":               {before: "/order", every: 1, back: 1, instead: answer("409 Conflict")},
	"before orders, fenced":                 {before: "/order", every: 1, back: 1, instead: answer("412 Precondition Failed")},
	"before orders, misdirected":            {before: "/order", every: 1, back: 1, instead: answer("421 Misdirected Request")},
	"before orders, unavailable":            {before: "/order", every: 1, back: 1, instead: answer("503 Service Unavailable")},
	"before reports, accepted":              {before: "/report", every: 3, back: 1, instead: answer("202 Accepted")},
	"before reports, fenced":                {before: "/report", every: 3, back: 1, instead: answer("412 Precondition Failed")},
	"before reports, holds":                 {before: "/report", every: 3, back: 1, instead: answer("200 OK")},
}

// repeatingEngine is an engine that repeats its answers, with the core of its target process.
type repeatingEngine struct {
	t       *testing.T
	replica *standin.Replica
	// direct is a client whose answers are not repeated.
	direct *platform.Engine
	system *actor.ActorSystem
	core   *actor.PID
}

func newRepeatingEngine(t *testing.T, slots int, x repetition) *repeatingEngine {
	e := &repeatingEngine{t: t, replica: standin.NewReplica("i-1", "m", slots), system: runtime.NewSystem()}
	address := serveRepeating(t, e.replica, x)
	server := httptest.NewServer(e.replica)
	t.Cleanup(server.Close)
	e.direct = platform.NewEngine(server.Listener.Addr().String(), "other")
	e.core = e.system.Root.Spawn(coreProps(engineagent.New(time.Now(), telemetry.NewMetrics()), platform.NewEngine(address, "vm"), "d"))
	t.Cleanup(func() {
		_ = e.system.Root.StopFuture(e.core).Wait()
		e.system.Shutdown()
	})
	e.receive(&wire.EngineSettings{Revision: 1, MaxRunning: 4, MemoryMB: 100, Models: []wire.EngineModel{{Name: "m", WeightsMB: 50, Adapters: slots}}})
	NewWithT(t).Eventually(e.status).Should(HaveField("Unready", false))
	return e
}

func (e *repeatingEngine) receive(message any) {
	e.system.Root.Send(e.core, &session.Received{ID: 1, Message: message})
}

func (e *repeatingEngine) status() status {
	reply, err := e.system.Root.RequestFuture(e.core, &getStatus{}, time.Second).Result()
	if err != nil {
		e.t.Error(err)
		return status{}
	}
	return reply.(status)
}

func (e *repeatingEngine) id(n uint64) wire.AttemptID {
	return wire.AttemptID{Request: wire.RequestID{Entry: "e", Incarnation: 1, Number: n}, Attempt: 1}
}

// Guards against an order that counts as accepted by the answer to another request.
func TestFencedOrderAtAnEngineThatRepeatsItsAnswers(t *testing.T) {
	for name, x := range repetitions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if knownred.Listed(t.Name()) {
				t.Skip("listed in KNOWN-RED.txt")
			}
			g := NewWithT(t)
			e := newRepeatingEngine(t, 3, x)
			report, _, err := e.direct.ReadStatus(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			outcome, _ := e.direct.Order(context.Background(), engineagent.Order{
				Kind: engineagent.Load, Adapter: engineagent.Adapter{Model: "m", Name: "other"}, Fence: uint64(report.StartedAtMS) + 5000,
			})
			g.Expect(outcome).To(Equal(engineagent.OrderAccepted))
			for n := range uint64(2) {
				e.receive(&wire.Reserve{ID: e.id(n), Model: "m", Adapter: fmt.Sprint("a", n), BudgetMS: 5000, FirstEventBudgetMS: 5000})
			}
			g.Eventually(e.replica.Held).Within(4 * time.Second).Should(ContainElements("a0", "a1"))
		})
	}
}

// Guards against orders that fill more than the slots, and against a process whose view of the
// engine goes back.
func TestLoadsAtAnEngineThatRepeatsItsAnswers(t *testing.T) {
	for name, x := range repetitions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			e := newRepeatingEngine(t, 3, x)
			orders, wentBack := uint64(0), 0
			observe := func() uint64 {
				s := e.status()
				if s.Orders < orders {
					wentBack++
				}
				orders = s.Orders
				return s.Orders
			}
			for n := range uint64(20) {
				e.receive(&wire.Reserve{ID: e.id(n), Model: "m", Adapter: fmt.Sprint("a", n%6), BudgetMS: 5000, FirstEventBudgetMS: 5000})
				for until := time.Now().Add(60 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
					observe()
				}
				e.receive(&wire.Release{ID: e.id(n)})
			}
			g.Expect(wentBack).To(BeZero())
			g.Expect(e.replica.ExceededSlots()).To(BeFalse())
			g.Eventually(func() bool {
				report, _, err := e.direct.ReadStatus(context.Background())
				return err == nil && report.AcceptedOrders == observe()
			}).Within(2 * time.Second).Should(BeTrue())
		})
	}
}

// Guards against a process that takes the engine before its restart for the present one.
func TestRestartsOfAnEngineThatRepeatsItsAnswers(t *testing.T) {
	for name, x := range repetitions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			e := newRepeatingEngine(t, 3, x)
			for n := range uint64(9) {
				if n%3 == 2 {
					e.replica.Restart()
				}
				e.receive(&wire.Reserve{ID: e.id(n), Model: "m", Adapter: fmt.Sprint("a", n%5), BudgetMS: 5000, FirstEventBudgetMS: 5000})
				time.Sleep(70 * time.Millisecond)
				e.receive(&wire.Release{ID: e.id(n)})
			}
			g.Expect(e.replica.ExceededSlots()).To(BeFalse())
			// A restart refuses the requests that wait.
			for n := uint64(100); n < 140 && len(e.replica.Held()) == 0; n++ {
				e.receive(&wire.Reserve{ID: e.id(n), Model: "m", Adapter: "last", BudgetMS: 5000, FirstEventBudgetMS: 5000})
				time.Sleep(100 * time.Millisecond)
			}
			g.Expect(e.replica.Held()).NotTo(BeEmpty())
			g.Eventually(func() bool {
				report, _, err := e.direct.ReadStatus(context.Background())
				return err == nil && report.AcceptedOrders == e.status().Orders
			}).Within(2 * time.Second).Should(BeTrue())
		})
	}
}
