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

// refusal is the status of a response that rejects a request.
type refusal struct {
	status      int
	notExecuted bool
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

	mu       sync.Mutex
	requests map[string]*receivedRequest
}

// receivedRequest is what targets did with a request. first is the connection of its first
// refusal.
type receivedRequest struct {
	refusals, runs int
	first          net.Conn
}

// probe ends the paths of requests whose refusals are not written again.
const probe = "probe"

// listen starts one of the targets and returns its address.
func (s *refusingTargets) listen() string {
	l := listen("127.0.0.1:0")
	DeferCleanup(l.Close)
	go func() {
		for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
			go s.serve(nc)
		}
	}()
	return l.Addr().String()
}

func (s *refusingTargets) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var refused []string
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := standin.RequestID(r.Header)
		runs, first := s.receive(nc, id)
		if !runs {
			refused = append(refused, id)
			_, _ = io.WriteString(nc, s.refusal.text(id))
			continue
		}
		if !strings.HasSuffix(r.URL.Path, probe) {
			s.repeat(nc, first, id, refused)
		}
		time.Sleep(s.runTime)
		_, _ = io.WriteString(nc, head(200, id, "Content-Length: 2\r\n\r\nok"))
	}
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
		if _, err := io.WriteString(nc, s.again.refusal.text(names...)); err != nil {
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
