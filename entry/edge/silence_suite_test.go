package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

var _ = Describe("An entry whose target falls silent and goes on", func() {
	// silence is longer than the entry waits before it looks for another target.
	const silence = 1700 * time.Millisecond

	// Guards against an answer that is given up although no other target takes the
	// request.
	DescribeTable("delivers the whole answer if no other target takes the request", func(targets int, retryAllowance float64, fault standin.Fault) {
		f := newFleet(targets, targets)
		f.bounds.RetryRatio, f.bounds.RetryAllowance = 0, retryAllowance
		f.start()
		for _, r := range append(f.engines, f.services...) {
			r.PauseTime = silence
		}
		Expect(f.query("a1").status).To(Equal(200))
		for _, r := range append(f.engines, f.services...) {
			r.InjectFaults(fault)
		}
		for _, send := range []func() response{func() response { return f.query("a1") }, f.lookup} {
			a := send()
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(200))
			Expect(a.body).To(BeElementOf(standin.Stream(a.id, 5), standin.Answer(a.id)))
			Expect(runsOf(a.id, append(f.engines, f.services...))).To(HaveLen(1))
		}
	},
		Entry("one target, silent in the middle", 1, 200.0, standin.Pause),
		Entry("one target, silent before the first byte", 1, 200.0, standin.EarlyPause),
		Entry("retry budget spent, silent in the middle", 2, 0.0, standin.Pause),
		Entry("retry budget spent, silent before the first byte", 2, 0.0, standin.EarlyPause),
	)

	// Guards against a stream that waits for a target which does not go on.
	It("continues at another engine if the silence lasts", func() {
		f := newFleet(2, 1)
		f.start()
		Expect(f.query("a1").status).To(Equal(200))
		for _, r := range f.engines {
			r.PauseTime = 4 * time.Second
		}
		f.engines[0].InjectFaults(standin.Pause)
		started := time.Now()
		for range 2 {
			a := f.query("a1")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(standin.Stream(a.id, 5)))
		}
		Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
	})

	// Guards against an answer that is given up for a target that then does not answer.
	DescribeTable("delivers the whole answer if another target gets the request and", func(fault standin.Fault) {
		f := newFleet(2, 1)
		f.start()
		first := f.query("a1")
		Expect(first.status).To(Equal(200))
		for i, r := range f.engines {
			if len(runsOf(first.id, f.engines[i:i+1])) > 0 {
				r.PauseTime = silence
				r.InjectFaults(standin.Pause)
			} else {
				r.InjectFaults(fault)
			}
		}
		a := f.query("a1")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(standin.Stream(a.id, 5)))
	}, Entry("declines", standin.Decline), Entry("fails", standin.Fail), Entry("sends no valid answer", standin.Unsigned), Entry("is silent too", standin.Hang))

	// Guards against an answer that counts as silent while it arrives.
	It("does not send the request elsewhere while a long answer arrives", func() {
		f := newFleet(0, 0)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}}, route("slow", "/slow/", "idempotent", "raw", nil))
		var all []*atomic.Int64
		for i := range 2 {
			address, _, requests := serveRaw(func(nc net.Conn, id string) {
				_, _ = io.WriteString(nc, head(200, id, "Content-Length: 10\r\n\r\n"))
				for range 10 {
					_, _ = io.WriteString(nc, "x")
					time.Sleep(100 * time.Millisecond)
				}
			})
			all = append(all, requests)
			f.store.RegisterAddress(fmt.Sprintf("raw-%d", i), address, 8)
		}
		f.start()
		Expect(f.call(context.Background(), 0, "GET", "/slow/", nil, "").body).To(Equal("xxxxxxxxxx"))
		Expect(all[0].Load() + all[1].Load()).To(BeEquivalentTo(1))
	})
})
