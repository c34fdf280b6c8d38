package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// refusal is a response that rejects a request.
type refusal struct {
	status      int
	notExecuted bool
	// reset is true if the connection is reset once so many parts of the text are written.
	reset   bool
	written float64
}

// write writes the refusal and reports whether the connection goes on.
func (r refusal) write(nc net.Conn, ids ...string) bool {
	text := r.text(ids...)
	if !r.reset {
		_, err := io.WriteString(nc, text)
		return err == nil
	}
	_, _ = io.WriteString(nc, text[:int(r.written*float64(len(text)))])
	// What was written before a reset may be lost if the peer has not read it.
	time.Sleep(5 * time.Millisecond)
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
	return false
}

// text returns the refusal with an Attempt-Id header for each of ids.
func (r refusal) text(ids ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n", r.status)
	if r.notExecuted {
		text += "Not-Executed: 1\r\n"
	}
	for _, id := range ids {
		text += "Attempt-Id: " + id + "\r\n"
	}
	return text + "\r\n"
}

// repetition is how a target writes a refusal again.
type repetition struct {
	refusal refusal
	times   int
	// delay is the time from the begin of the run to the repetition.
	delay time.Duration
	// ids returns the IDs that the repetition names. It is written on a connection that has
	// carried a refusal of the request that runs, and if it names another one, on each that has
	// carried a refusal.
	ids func(running, other string) []string
	// onFirst is true if the repetition is written on the connection of the request's first
	// refusal, whichever the request runs on.
	onFirst bool
}

// IDs that a repetition names.
var (
	runningID = func(running, _ string) []string { return []string{running} }
	otherID   = func(_, other string) []string { return []string{other} }
	bothIDs   = func(running, other string) []string { return []string{running, other} }
	noID      = func(string, string) []string { return nil }
)

// refusingTargets are plain services that together refuse each request a number of times before
// they run it, and write a refusal again while they do.
type refusingTargets struct {
	refusal  refusal
	refusals int
	again    repetition
	// runTime is the time from the repetition to the answer.
	runTime time.Duration
	// notify is called with the target that has received, refused or begun to run a request. If
	// it isn't nil, only instances that were replaced write their refusals again.
	notify func(*refusingTarget, moment)

	mu       sync.Mutex
	requests map[string]*receivedRequest
}

// receivedRequest is what targets did with a request. first is the connection of its first
// refusal.
type receivedRequest struct {
	refusals, runs int
	first          net.Conn
}

// probe is the last part of the paths of requests whose refusals are not written again.
const probe = "probe"

// moment is a step of what a target does with a request.
type moment uint8

const (
	beforeRefusal moment = iota + 1
	afterRefusal
	whileItRuns
)

// refusingTarget is one of the targets. Connections that begin with a request without an ID go
// to the server at behind, if that isn't empty.
type refusingTarget struct {
	address, behind string

	mu sync.Mutex
	// instance is the ID of what runs at the address: it alone runs requests that expect it.
	// Connections belong to the instance that has accepted them. starts counts the instances.
	instance string
	starts   int
	conns    []net.Conn
}

// replaced reports whether another instance has started since.
func (t *refusingTarget) replaced(start int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts != start
}

// setInstance starts another instance at the address of the target. The connections to the one
// before go on or are reset.
func (t *refusingTarget) setInstance(instance string, reset bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instance = instance
	t.starts++
	for _, nc := range t.conns {
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
		}
	}
	t.conns = nil
}

func (t *refusingTarget) accept(nc net.Conn) (instance string, start int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = append(t.conns, nc)
	return t.instance, t.starts
}

// listen starts one of the targets at ip.
func (s *refusingTargets) listen(ip, instance, behind string) *refusingTarget {
	l := listen(ip + ":0")
	DeferCleanup(l.Close)
	t := &refusingTarget{address: l.Addr().String(), behind: behind, instance: instance}
	go func() {
		for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
			instance, start := t.accept(nc)
			go s.serve(nc, t, instance, start)
		}
	}()
	return t
}

func (s *refusingTargets) serve(nc net.Conn, t *refusingTarget, instance string, start int) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var refused []string
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id, probes := standin.RequestID(r.Header), strings.HasSuffix(strings.TrimSuffix(r.URL.Path, "/"), probe)
		if id == "" && t.behind != "" {
			passOn(nc, br, r, t.behind)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("Expect-Instance") != instance {
			_, _ = io.WriteString(nc, refusal{status: 421}.text(id))
			continue
		}
		notify := func(m moment) {
			if s.notify != nil && !probes {
				s.notify(t, m)
			}
		}
		runs, first := s.receive(nc, id)
		if !runs {
			refused = append(refused, id)
			notify(beforeRefusal)
			response := s.refusal
			response.reset = response.reset && !probes
			ok := response.write(nc, id)
			notify(afterRefusal)
			if !ok {
				return
			}
			continue
		}
		notify(whileItRuns)
		if !probes && (s.notify == nil || t.replaced(start)) {
			s.repeat(nc, first, id, refused)
		}
		time.Sleep(s.runTime)
		body := standin.Stream(id, 1)
		_, _ = io.WriteString(nc, head(200, id, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
	}
}

// passOn connects nc, from which a request was read, with another server.
func passOn(nc net.Conn, br *bufio.Reader, r *http.Request, address string) {
	other, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer other.Close()
	if r.Write(other) != nil {
		return
	}
	go func() {
		_, _ = io.Copy(other, br)
		_ = other.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(nc, other)
}

// receive records a request, and reports whether it runs now and the connection of its first
// refusal.
func (s *refusingTargets) receive(nc net.Conn, id string) (runs bool, first net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = make(map[string]*receivedRequest)
	}
	r, ok := s.requests[id]
	if !ok {
		r = &receivedRequest{first: nc}
		s.requests[id] = r
	}
	if r.refusals < s.refusals {
		r.refusals++
		return false, r.first
	}
	r.runs++
	return true, r.first
}

// repeat writes a refusal again while a request runs. refused holds the requests that were
// refused on its connection.
func (s *refusingTargets) repeat(nc, first net.Conn, id string, refused []string) {
	own, other := false, ""
	for _, x := range refused {
		own = own || x == id
		if x != id {
			other = x
		}
	}
	if other == "" {
		other = "earlier-" + id
	}
	names := s.again.ids(id, other)
	if s.again.onFirst {
		nc = first
	} else if !own && (len(refused) == 0 || len(names) > 0 && names[0] == id) {
		return
	}
	time.Sleep(s.again.delay)
	for range s.again.times {
		if !s.again.refusal.write(nc, names...) {
			return
		}
	}
}

// outcome is what became of the requests of a spec.
type outcome struct {
	// ran counts the requests that ran, twice those that ran more than once and refused
	// those that ran and were answered with a status which says that they never will.
	ran, twice, refused int
	statuses            map[int]int
}

// outcomeOf compares the responses that callers got with what the targets ran.
func (s *refusingTargets) outcomeOf(responses []response) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := outcome{statuses: make(map[int]int)}
	for _, a := range responses {
		o.statuses[a.status]++
		r := s.requests[a.id]
		if r == nil || r.runs == 0 {
			continue
		}
		o.ran++
		if r.runs > 1 {
			o.twice++
		}
		switch a.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			o.refused++
		}
	}
	return o
}

// expectPromisesKept checks that no request ran more than once, and that none that ran was
// answered with a status which says that it never will.
func (s *refusingTargets) expectPromisesKept(responses []response) {
	// A request may also run after its answer.
	time.Sleep(100 * time.Millisecond)
	o := s.outcomeOf(responses)
	GinkgoWriter.Printf("%+v\n", o)
	Expect([]int{o.twice, o.refused}).To(Equal([]int{0, 0}), "requests that ran twice, and that ran and were refused: %+v", o)
}

// callEach sends concurrent requests and returns the responses.
func callEach(count int, call func(i int) response) []response {
	responses := make([]response, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			defer GinkgoRecover()
			responses[i] = call(i)
		})
	}
	group.Wait()
	return responses
}
