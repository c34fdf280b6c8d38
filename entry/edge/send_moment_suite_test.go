package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// callMany sends requests of several callers at once until stop is closed, or number requests
// of each, and returns the responses. Requests that got none are left out.
func (f *fleet) callMany(callers, number, bodyBytes int, stop <-chan struct{}) []response {
	var (
		mu        sync.Mutex
		responses []response
		wg        sync.WaitGroup
	)
	for range callers {
		wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer wg.Done()
			for n := 0; number == 0 || n < number; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := f.call(context.Background(), 0, "POST", "/call/1", nil, strings.Repeat("x", bodyBytes))
				mu.Lock()
				responses = append(responses, a)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return responses
}

var _ = Describe("A request that may run once, whose connection fails as it is sent", func() {
	type script = func(nc net.Conn, r *http.Request, n int) bool
	// jitter returns a random time of up to 2 ms, about the time between an answer and the next
	// request of the connection.
	jitter := func() time.Duration { return time.Duration(rand.Intn(2000)) * time.Microsecond }
	reset := func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
	// Guards against a second send of a request whose bytes a target may have got.
	DescribeTable("runs once at most", func(target func(*runCount) script, maxAttempts, bodyBytes int) {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 3 {
			targets = append(targets, &scriptedTarget{script: target(ran)})
		}
		f.startScripted(targets...)
		f.configureOnce(maxAttempts)
		f.start()
		responses := f.callMany(4, 60, bodyBytes, nil)
		awaitIdle(targets...)
		Expect(ran.requests()).To(BeNumerically(">", 0))
		for _, a := range responses {
			ran.expectOnce(a)
		}
	},
		Entry("closed in one direction after an answer", func(ran *runCount) script {
			return func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				if n == 0 {
					time.AfterFunc(jitter(), func() { _ = nc.(*net.TCPConn).CloseWrite() })
				}
				return answer(nc, requestIDOf(r)) || n > 0
			}
		}, 2, 600),
		Entry("reset after an answer", func(ran *runCount) script {
			return func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				if n == 0 {
					time.AfterFunc(jitter(), func() { reset(nc) })
				}
				return answer(nc, requestIDOf(r))
			}
		}, 5, 600),
		Entry("reset once it has run", func(ran *runCount) script {
			return func(nc net.Conn, r *http.Request, n int) bool {
				if readBody(r) {
					ran.add(requestIDOf(r))
				}
				if n%2 == 0 {
					return answer(nc, requestIDOf(r))
				}
				reset(nc)
				return false
			}
		}, 5, 600),
		Entry("reset in a long body", func(ran *runCount) script {
			return func(nc net.Conn, r *http.Request, n int) bool {
				if n%2 == 1 {
					_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
					ran.add(requestIDOf(r))
					reset(nc)
					return false
				}
				if readBody(r) {
					ran.add(requestIDOf(r))
				}
				return answer(nc, requestIDOf(r))
			}
		}, 5, 60000),
	)

	// Guards against a second send after a failed dial to a target that accepts the connection
	// later.
	It("runs once at most if a target accepts too late", func() {
		f, ran := newFleet(0, 0), &runCount{}
		l := listen("127.0.0.1:0")
		DeferCleanup(l.Close)
		raw, err := l.(*net.TCPListener).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })).To(Succeed())
		for range 2 {
			// These connections fill the queue of the listener.
			nc, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
			if err == nil {
				DeferCleanup(nc.Close)
			}
		}
		run := func(nc net.Conn, r *http.Request, n int) bool {
			if readBody(r) {
				ran.add(requestIDOf(r))
			}
			return answer(nc, requestIDOf(r))
		}
		f.store.RegisterAddress("late", l.Addr().String(), 8)
		other, late := &scriptedTarget{script: run}, &scriptedTarget{script: run}
		f.startScripted(other)
		f.configureOnce(5)
		f.start()
		time.AfterFunc(300*time.Millisecond, func() {
			late.mu.Lock()
			late.l, late.open = l, make(map[net.Conn]bool)
			late.mu.Unlock()
			for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
				go late.serve(l, nc)
			}
		})
		responses := f.callMany(8, 4, 600, nil)
		time.Sleep(500 * time.Millisecond)
		awaitIdle(other, late)
		for _, a := range responses {
			ran.expectOnce(a)
		}
	})

	// Guards against a second send while an address changes hands between a dial and a write.
	It("runs once at most while targets crash and start again at their addresses", func() {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 3 {
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				time.Sleep(jitter())
				return answer(nc, requestIDOf(r))
			}})
		}
		f.startScripted(targets...)
		f.configureOnce(5)
		f.start()
		stop := make(chan struct{})
		time.AfterFunc(2*time.Second, func() { close(stop) })
		crashed := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(crashed)
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(5+rand.Intn(20)) * time.Millisecond):
					t := targets[rand.Intn(len(targets))]
					t.crash()
					time.Sleep(jitter())
					t.start()
				}
			}
		}()
		responses := f.callMany(8, 0, 600, stop)
		<-crashed
		awaitIdle(targets...)
		Expect(ran.requests()).To(BeNumerically(">", 50))
		for _, a := range responses {
			ran.expectOnce(a)
		}
	})

	// Guards against a second send by a process that ends in the middle of requests, and by the
	// one that follows it.
	It("runs once at most when its entry ends", func() {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 3 {
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				time.Sleep(jitter())
				return answer(nc, requestIDOf(r))
			}})
		}
		f.startScripted(targets...)
		f.configureOnce(5)
		for round := range 3 {
			e := f.start()
			f.settings[0] = f.settings[len(f.settings)-1]
			stop := make(chan struct{})
			ended := make(chan struct{})
			time.AfterFunc(time.Duration(100+rand.Intn(50))*time.Millisecond, func() {
				e.Close()
				close(ended)
				close(stop)
			})
			responses := f.callMany(8, 0, 600, stop)
			<-ended
			awaitIdle(targets...)
			Expect(ran.requests()).To(BeNumerically(">", 0), fmt.Sprint("round ", round))
			for _, a := range responses {
				ran.expectOnce(a)
			}
		}
	})
})
