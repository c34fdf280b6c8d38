package edge_test

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// refuseWithID writes a refusal that names the request.
func refuseWithID(nc net.Conn, status, id string) bool {
	_, err := io.WriteString(nc, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\nAttempt-Id: "+id+"\r\n\r\n")
	return err == nil
}

var _ = Describe("Requests that may run once, at targets of which some crash", func() {
	// Guards against a second run of requests that are queued, sent, refused or answered in part
	// when two of their targets crash.
	DescribeTable("run once at most when two of four crash within 50 ms", func(slots int64, bodyBytes, maxAttempts int, restart time.Duration) {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 4 {
			var running atomic.Int64
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				defer running.Add(-1)
				if running.Add(1) > slots {
					return readBody(r) && refuseWithID(nc, "503 Service Unavailable\r\nNot-Executed: 1", requestIDOf(r))
				}
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				time.Sleep(time.Duration(10+rand.Intn(30)) * time.Millisecond)
				return answer(nc, requestIDOf(r))
			}})
		}
		f.startScripted(targets...)
		f.configureOnce(maxAttempts)
		f.start()
		stop := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(stop)
			for i := range 4 {
				pair := targets[i%2*2 : i%2*2+2]
				time.Sleep(300 * time.Millisecond)
				pair[0].crash()
				time.Sleep(time.Duration(rand.Intn(50)) * time.Millisecond)
				pair[1].crash()
				time.Sleep(restart)
				pair[0].start()
				pair[1].start()
			}
			time.Sleep(300 * time.Millisecond)
		}()
		responses := f.callMany(40, 0, bodyBytes, stop)
		awaitIdle(targets...)
		Expect(ran.requests()).To(BeNumerically(">", 50))
		for _, a := range responses {
			ran.expectOnce(a)
		}
	},
		Entry("with room for all, one attempt", int64(100), 600, 1, 20*time.Millisecond),
		Entry("with refusals, one attempt", int64(4), 600, 1, 20*time.Millisecond),
		Entry("with refusals, five attempts", int64(4), 600, 5, 20*time.Millisecond),
		Entry("with refusals and long bodies", int64(4), 60000, 2, 20*time.Millisecond),
		Entry("with refusals, later starts", int64(4), 600, 5, 200*time.Millisecond),
	)

	// Guards against a second run because another service answers 421 at the address of a target
	// that still works on what it got.
	DescribeTable("run once at most when another service takes over an address", func(named, reset bool) {
		f, ran := newFleet(0, 0), &runCount{}
		run := func(nc net.Conn, r *http.Request, n int) bool {
			if !readBody(r) {
				return false
			}
			ran.add(requestIDOf(r))
			time.Sleep(100 * time.Millisecond)
			return answer(nc, requestIDOf(r))
		}
		taken, other := &scriptedTarget{script: run}, &scriptedTarget{script: run}
		f.startScripted(taken, other)
		f.configureOnce(5)
		f.start()
		var (
			wg        sync.WaitGroup
			responses = make([]response, 0, 60)
			mu        sync.Mutex
		)
		call := func() {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
				mu.Lock()
				responses = append(responses, a)
				mu.Unlock()
			}()
		}
		for i := range 60 {
			call()
			if i > 20 {
				// Needs new connections.
				time.Sleep(4 * time.Millisecond)
			} else {
				time.Sleep(10 * time.Millisecond)
			}
			if i != 20 {
				continue
			}
			address := taken.address
			if reset {
				taken.crash()
			} else {
				taken.mu.Lock()
				l := taken.l
				taken.mu.Unlock()
				_ = l.Close()
			}
			successor := &scriptedTarget{address: address, script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				if named {
					return refuseWithID(nc, "421 Misdirected Request", requestIDOf(r))
				}
				_, err := io.WriteString(nc, refusalWithoutID("421 Misdirected Request"))
				return err == nil
			}}
			successor.start()
			DeferCleanup(successor.crash)
		}
		wg.Wait()
		awaitIdle(taken, other)
		for _, a := range responses {
			ran.expectOnce(a)
		}
	},
		Entry("and names the request, connections stay", true, false),
		Entry("and names none, connections stay", false, false),
		Entry("and names the request, connections are reset", true, true),
		Entry("and names none, connections are reset", false, true),
	)
})
