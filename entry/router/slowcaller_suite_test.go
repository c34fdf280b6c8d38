package router_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/front"
	"agatelanding.example/agatelanding/entry/router"
	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/telemetry"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

var _ = Describe("A caller that does not read", func() {
	// Without the timeout its response stays in memory, and its request at the
	// engine, for as long as the caller keeps the connection open.
	It("has its request aborted after the write timeout", func() {
		aborted := make(chan uint64, 1)
		system := runtime.NewSystem()
		DeferCleanup(system.Shutdown)
		pid := system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) {
			switch m := ctx.Message().(type) {
			case *router.Submit:
				// 15 MiB in total, more than the socket buffers of both sides hold.
				for range 15 {
					m.Response.Deliver(make([]byte, 1<<20))
				}
			case *router.Abort:
				aborted <- m.Number
			}
		}))
		routes, pools := fixture.Tables(1, 1, fixture.Targets("assistant", 1), nil)
		snapshot, faults := tables.Build(1, &routes, &pools)
		Expect(faults).To(BeEmpty())
		f := &front.Front{
			Snapshot: func() *tables.Snapshot { return snapshot }, MaxBodyBytes: 1 << 20, MaxOpenRequests: 10,
			WriteTimeout: 300 * time.Millisecond, System: system, Router: pid, Metrics: telemetry.NewMetrics(),
		}
		server := httptest.NewServer(f)
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		body := `{"model":"plot-0","prompt":"p","stream":true}`
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		Eventually(aborted, 5*time.Second).Should(Receive(Equal(uint64(1))))
	})

	It("has a bounded response buffer", func() {
		buffer := router.NewResponseBuffer()
		Expect(buffer.Deliver(make([]byte, router.MaxBufferedBytes))).To(BeTrue())
		Expect(buffer.Deliver([]byte{1})).To(BeFalse())
		buffer.Take()
		Expect(buffer.Deliver([]byte{1})).To(BeTrue())
	})
})
