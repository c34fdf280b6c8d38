package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// requestState is how far a request was when its target crashed.
type requestState string

const (
	bodyReadInPart requestState = "written in part"
	held           requestState = "written"
	refusedJustNow requestState = "refused"
	refusedInPart  requestState = "refused in part"
	answeredInPart requestState = "answered in part"
	served         requestState = "served"
)

// crashingTarget is a plain service that brings each request into a state and crashes.
type crashingTarget struct {
	pool *crashingPool
	// states are those of requests. If it is busy, each connection carries one request, and the
	// target accepts none from a time before its crash on, so that dials take long.
	states []requestState
	busy   bool

	mu       sync.Mutex
	instance string
	address  string
	listener net.Listener
	conns    map[net.Conn]requestState
	full     bool
	crashed  bool
}

// crashingPool records what its targets ran.
type crashingPool struct {
	refusingTargets
	// repeats is true if targets write the refusals of a connection again while they run a
	// request on it.
	repeats bool

	mu sync.Mutex
	// rng chooses states, and atCrash counts the requests in each state when a target crashed.
	rng     *rand.Rand
	atCrash map[requestState]int
}

func (p *crashingPool) random(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Intn(n)
}

// listenWithBacklog listens at an address with room for one connection that was not accepted.
func listenWithBacklog(address string) net.Listener {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)).To(Succeed())
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())})).To(Succeed())
	Expect(syscall.Listen(fd, 1)).To(Succeed())
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	Expect(err).NotTo(HaveOccurred())
	return l
}

// start starts an instance at the address of the target, or at a new one.
func (t *crashingTarget) start(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	if t.busy {
		t.listener = listenWithBacklog(address)
	} else {
		t.listener = listen(address)
	}
	t.instance, t.address, t.conns, t.full, t.crashed = instance, t.listener.Addr().String(), make(map[net.Conn]requestState), false, false
	go t.accept(t.listener, instance)
}

func (t *crashingTarget) accept(l net.Listener, instance string) {
	for {
		t.mu.Lock()
		full := t.full
		t.mu.Unlock()
		if full {
			return
		}
		nc, err := l.Accept()
		if err != nil {
			return
		}
		if t.set(nc, "") {
			go t.serve(nc, instance)
		}
	}
}

// set records the state of a connection, and reports whether the target lives.
func (t *crashingTarget) set(nc net.Conn, state requestState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed {
		_ = nc.Close()
		return false
	}
	t.conns[nc] = state
	return true
}

// crash ends the instance: its connections are reset or closed, and none is accepted.
func (t *crashingTarget) crash(reset bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed = true
	_ = t.listener.Close()
	for nc, state := range t.conns {
		t.pool.mu.Lock()
		t.pool.atCrash[state]++
		t.pool.mu.Unlock()
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
		_ = nc.Close()
	}
}

func (t *crashingTarget) serve(nc net.Conn, instance string) {
	defer nc.Close()
	br, refused := bufio.NewReader(nc), ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := standin.RequestID(r.Header)
		state := t.states[t.pool.random(len(t.states))]
		switch {
		case r.Header.Get("Expect-Instance") != instance:
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(nc, misdirected.text(id))
			continue
		case state == refusedJustNow || state == refusedInPart:
			_, _ = io.Copy(io.Discard, r.Body)
		case state == bodyReadInPart && r.ContentLength > 0:
			t.pool.receive(nc, id)
			_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		default:
			t.pool.receive(nc, id)
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if !t.set(nc, state) {
			return
		}
		switch {
		case state == refusedJustNow:
			refused += full.text(id)
		case t.pool.repeats && state != refusedInPart:
			_, _ = io.WriteString(nc, refused)
		}
		if !t.answer(nc, id, state) {
			return
		}
	}
}

// answer answers a request in a state. It returns false if the connection carries no other one.
func (t *crashingTarget) answer(nc net.Conn, id string, state requestState) bool {
	body := standin.Stream(id, 4)
	if t.busy {
		body = standin.Stream(id, 1)
	}
	whole := head(200, id, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	switch state {
	case served:
		time.Sleep(20 * time.Millisecond)
		if t.busy {
			whole = strings.Replace(whole, "\r\n", "\r\nConnection: close\r\n", 1)
		}
		_, _ = io.WriteString(nc, whole)
		return !t.busy
	case refusedJustNow:
		_, _ = io.WriteString(nc, full.text(id))
		return true
	case refusedInPart:
		text := full.text(id)
		_, _ = io.WriteString(nc, text[:len(text)/2])
	case answeredInPart:
		_, _ = io.WriteString(nc, whole[:len(whole)-len(body)/2])
	}
	// The request stays in its state until the crash.
	_, _ = io.Copy(io.Discard, nc)
	return false
}

var _ = Describe("Crashes of two targets of a pool within 50 ms, under load", func() {
	const rounds = 3
	// Guards against a second run of a request that may run once, and against an answer that says
	// that such a request has not run, after a crash in any state of the request.
	DescribeTable("run no request twice, and no caller is told otherwise", func(reset, repeats bool) {
		p := &crashingPool{repeats: repeats, rng: rand.New(rand.NewSource(GinkgoRandomSeed())), atCrash: make(map[requestState]int)}
		targets := []*crashingTarget{
			{pool: p, states: []requestState{bodyReadInPart, held, answeredInPart, refusedInPart, refusedJustNow, refusedJustNow}},
			{pool: p, states: []requestState{served, served, served, served, refusedJustNow}, busy: true},
			{pool: p, states: []requestState{served, served, served, refusedJustNow}},
		}
		f := newFleet(0, 0)
		list := func(t *crashingTarget, n int) {
			f.store.Put("servers/"+t.instance, map[string]any{"service": "raw", "address": t.address, "zone": "z1", "slots": 8, "state": "ready", "born": 5 * n, "seq": n})
		}
		for i, t := range targets {
			t.start(fmt.Sprintf("raw-%d", i))
			list(t, 1)
			DeferCleanup(t.crash, false)
		}
		f.configure(2, map[string]any{
			"services": []map[string]any{{"name": "raw"}, {"name": "none"}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 5}),
			route("flow", "/flow/", "stream", "raw", map[string]any{"max_attempts": 5, "resumable": false}),
			route("none", "/none/", "idempotent", "none", nil))
		for range 2 {
			f.start()
		}

		var responses []response
		var mu sync.Mutex
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var group sync.WaitGroup
		// Each request to a pool without targets is a line in the log.
		for i := range 6 {
			group.Go(func() {
				for ctx.Err() == nil {
					f.call(context.Background(), i%2, "GET", "/none/1", nil, "")
				}
			})
		}
		for i := range 120 {
			group.Go(func() {
				defer GinkgoRecover()
				path, body := "/call/1", "x"
				if i%3 == 1 {
					path = "/flow/1"
				}
				if i%4 == 3 {
					body = strings.Repeat("x", 1<<20)
				}
				for ctx.Err() == nil {
					a := f.call(context.Background(), i%2, "POST", path, nil, body)
					mu.Lock()
					responses = append(responses, a)
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		for round := range rounds {
			time.Sleep(800 * time.Millisecond)
			targets[1].mu.Lock()
			targets[1].full = true
			targets[1].mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			targets[round%2].crash(reset)
			time.Sleep(time.Duration(p.random(50)) * time.Millisecond)
			targets[1-round%2].crash(reset)
			time.Sleep(300 * time.Millisecond)
			for i, t := range targets[:2] {
				f.store.Deregister(t.instance)
				t.start(fmt.Sprintf("raw-%d-%d", i, round))
				list(t, round+2)
			}
		}
		stop()
		group.Wait()
		GinkgoWriter.Printf("at the crashes: %v\n", p.atCrash)
		for _, state := range []requestState{bodyReadInPart, held, refusedJustNow, refusedInPart, answeredInPart} {
			Expect(p.atCrash[state]).To(BeNumerically(">", 0), string(state))
		}
		p.expectPromisesKept(responses)
	},
		Entry("with closed connections", false, false),
		Entry("with reset connections", true, false),
		Entry("with closed connections and repeated refusals", false, true),
		Entry("with reset connections and repeated refusals", true, true),
	)
})
