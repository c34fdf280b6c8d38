package resend_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/resend"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

// response is one that a target writes: the request that it names, empty for none, and whether
// it says that the request was not run.
type response struct {
	id      string
	refusal bool
}

// connection is an idle connection to a target, with the refusals that were written on it.
type connection struct {
	refusals resend.Refusals
	written  []response
}

// faultyAddress is where one or several targets run or refuse requests. They may write any
// earlier refusal of a connection again, one of another connection, or one without a name, before
// a response. idsComeAgain is true if callers send a request again with its ID: then no refusal
// of another connection names the request that is under way, because no evidence tells it from
// that of the later send.
type faultyAddress struct {
	idsComeAgain bool
	idle         []*connection
	refusals     []response
	runs         map[string]int
}

// serve returns what the target writes for a request. It has run the request or not, whatever
// it writes.
func (f *faultyAddress) serve(t *rapid.T, c *connection, id string) (responses []response, closes bool) {
	for range rapid.IntRange(0, 3).Draw(t, "stray responses") {
		switch {
		case len(c.written) > 0 && rapid.Bool().Draw(t, "repeats"):
			responses = append(responses, rapid.SampledFrom(c.written).Draw(t, "repeated"))
		case len(f.refusals) > 0 && rapid.Bool().Draw(t, "of another connection"):
			refusal := rapid.SampledFrom(f.refusals).Draw(t, "repeated")
			if refusal.id != id || !f.idsComeAgain {
				responses, c.written = append(responses, refusal), append(c.written, refusal)
			}
		case rapid.Bool().Draw(t, "unnamed"):
			responses = append(responses, response{refusal: true})
		}
	}
	if rapid.Bool().Draw(t, "refuses") {
		refusal := response{id: id, refusal: true}
		if rapid.IntRange(0, 4).Draw(t, "named") == 0 {
			refusal.id = ""
		}
		c.written, f.refusals = append(c.written, refusal), append(f.refusals, refusal)
		return append(responses, refusal), rapid.IntRange(0, 4).Draw(t, "closes") == 0
	}
	f.runs[id]++
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		return nil, true
	case 1:
		return responses, true
	}
	return append(responses, response{id: id}), false
}

// send sends a request on a connection and returns what the send has left, and whether the
// target answered.
func (f *faultyAddress) send(t *rapid.T, id string) (evidence resend.Evidence, answered bool) {
	if rapid.IntRange(0, 5).Draw(t, "refuses connections") == 0 {
		return resend.NotWritten, false
	}
	c := &connection{}
	if i := slices.IndexFunc(f.idle, func(c *connection) bool { return c.refusals.MayCarry(id) }); i >= 0 && rapid.IntRange(0, 3).Draw(t, "kept") > 0 {
		c = f.idle[i]
		f.idle = slices.Delete(f.idle, i, i+1)
	}
	responses, closes := f.serve(t, c, id)
	for _, r := range responses {
		match, named := resend.OtherRequest, []string{r.id}
		switch r.id {
		case "":
			match, named = resend.NoRequest, nil
		case id:
			match = resend.ThisRequest
		}
		switch c.refusals.Received(id, match, r.refusal, named...) {
		case resend.Skip:
			continue
		case resend.Distrust:
			return resend.Inconclusive, false
		}
		if match == resend.ThisRequest && !closes {
			f.idle = append(f.idle, c)
		}
		switch {
		case !r.refusal:
			return resend.Inconclusive, true
		case match == resend.ThisRequest:
			return resend.NamedRefusal, false
		}
		return resend.UnnamedRefusal, false
	}
	return resend.Inconclusive, false
}

// Guards against evidence of one send, or of one request, that is used for another: a request
// that may run once then runs twice, or is said not to have run.
func TestRequestsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRequests(t, []int{1, 2, 5}, true) })
}

// Guards against the refusal of another connection to the address that counts as evidence: a
// request that may run once is said not to have run, one that may be repeated runs at more targets
// than its route allows, or is not charged.
func TestRefusalsOfOtherConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Such cases are rare.
		for range 20 {
			runRequests(t, []int{1, 2}, false)
		}
	})
}

// runRequests sends requests to targets, of routes that allow maxAttempts. Unless idsComeAgain is
// true, targets may share an address and requests may be repeatable.
func runRequests(t *rapid.T, maxAttempts []int, idsComeAgain bool) {
	names := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "targets")]
	runs, addresses, addressOf := make(map[string]int), make(map[string]*faultyAddress), make(map[string]string)
	for _, name := range names {
		addressOf[name] = name
		if !idsComeAgain && rapid.IntRange(0, 2).Draw(t, "shares an address") == 0 {
			addressOf[name] = "shared"
		}
		addresses[addressOf[name]] = &faultyAddress{idsComeAgain: idsComeAgain, runs: runs}
	}
	refused := []string(nil)
	for n := range rapid.IntRange(1, 12).Draw(t, "requests") {
		id := fmt.Sprint(n)
		if idsComeAgain && len(refused) > 0 && rapid.Bool().Draw(t, "comes again") {
			// A caller that was told that the request has not run sends it again.
			id = rapid.SampledFrom(refused).Draw(t, "refused")
			refused = slices.DeleteFunc(refused, func(other string) bool { return other == id })
		}
		policy := resend.Policy{Repeatable: !idsComeAgain && rapid.Bool().Draw(t, "repeatable"), MaxAttempts: rapid.SampledFrom(maxAttempts).Draw(t, "attempts")}
		s, ranBefore, ranAt := resend.New(policy), runs[id], make(map[string]bool)
		answered := false
		for !answered && (s.Counts().Sends == 0 || s.MaySendAgain(time.Second)) {
			usable := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
				return slices.Contains(s.Excluded(), name) && !slices.Contains(s.Returnable(), name)
			})
			if len(usable) == 0 {
				break
			}
			name := rapid.SampledFrom(usable).Draw(t, "target")
			before := runs[id]
			s.Begin(name, addressOf[name])
			var evidence resend.Evidence
			evidence, answered = addresses[addressOf[name]].send(t, id)
			if evidence != resend.Inconclusive && evidence != resend.NotWritten {
				s.Rejected()
			}
			if runs[id] > before {
				ranAt[name] = true
			}
			if !s.End(evidence) && runs[id] > before && !policy.Repeatable {
				t.Fatalf("request %s ran at %s, and %v counts as not run", id, name, evidence)
			}
		}
		if s.ProvenNotRun() && runs[id] > ranBefore {
			t.Fatalf("request %s ran and is not charged", id)
		}
		if !s.MayHaveRun() {
			refused = append(refused, id)
		}
		if runs[id] > 1 && !policy.Repeatable {
			t.Fatalf("request %s ran %d times", id, runs[id])
		}
		if len(ranAt) > policy.MaxAttempts {
			t.Fatalf("request %s ran at %d targets, %d allowed", id, len(ranAt), policy.MaxAttempts)
		}
	}
}
