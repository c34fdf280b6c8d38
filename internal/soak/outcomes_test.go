package soak_test

import (
	"fmt"
	"net/http"
	"strings"

	"agatelanding.example/agatelanding/platform/standin"
)

// checkOutcomes compares what callers received with what targets executed, and returns the
// executions by request.
func (s *soak) checkOutcomes() map[string][]standin.Run {
	runs := make(map[string][]standin.Run)
	for _, r := range s.targets() {
		for _, run := range r.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
		if r.ExceededSlots() {
			s.t.Errorf("%s was ordered to hold more adapters than it has slots", r.ID)
		}
	}
	seen := make(map[string]bool)
	served := 0
	for _, o := range s.outcomes {
		seen[o.id], s.kinds[o.id] = true, o.kind
		if o.status == 200 && o.err == nil {
			served++
		}
		s.checkOutcome(o, runs[o.id])
	}
	s.checkVersions(runs)
	for id, list := range runs {
		if !seen[id] {
			s.t.Errorf("request %q was executed but no caller sent it: %s %s at %s", id, list[0].Method, list[0].URI, list[0].Replica)
		}
	}
	s.t.Logf("%d requests, %d served, configuration %d", len(s.outcomes), served, s.configVersion)
	return runs
}

// checkOutcome checks one request. runs are its executions at all targets. The kinds
// release and brief may be executed once at most, the others at two targets, a stream once
// more at one of them. A refused release or brief must not be executed, and a response with
// status 200 must be complete.
func (s *soak) checkOutcome(o outcome, runs []standin.Run) {
	atMostOnce := o.kind == "release" || o.kind == "brief"
	if atMostOnce && len(runs) > 1 {
		s.t.Errorf("TWICE: %s %s was executed %d times (answered %d):%s", o.kind, o.id, len(runs), o.status, describe(o, runs))
	}
	if atMostOnce && promisesNoRun(o.status) && len(runs) > 0 {
		s.t.Errorf("REFUSED: %s %s was refused with %d but was executed:%s", o.kind, o.id, o.status, describe(o, runs))
	}
	targets, allowed := make(map[string]bool), 2
	for _, r := range runs {
		targets[r.Replica] = true
	}
	if o.kind == "query" {
		allowed = 3
	}
	if !atMostOnce && (len(targets) > 2 || len(runs) > allowed) {
		s.t.Errorf("%s %s was executed %d times at %d targets, the route allows 2", o.kind, o.id, len(runs), len(targets))
	}
	if !o.crashing && strings.Contains(o.body, "prompt_quarantined") {
		s.t.Errorf("%s %s was refused for a part that crashes nothing", o.kind, o.id)
	}
	if !o.crashing && strings.Contains(o.body, "request_quarantined") {
		s.t.Errorf("%s %s was refused as a request that crashes targets", o.kind, o.id)
	}
	if o.status != 200 || o.err != nil {
		return
	}
	want := standin.Answer(o.id)
	if o.kind == "query" || o.kind == "brief" {
		want = eventsAfter(o.id, o.event)
	}
	if o.body != want {
		s.t.Errorf("%s %s received an unexpected body: %.300q", o.kind, o.id, o.body)
	}
}

// promisesNoRun reports whether a status tells the caller that its request has not run.
func promisesNoRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// describe returns a line for each run of a request.
func describe(o outcome, runs []standin.Run) string {
	var b strings.Builder
	for _, r := range runs {
		fmt.Fprintf(&b, "\n\tat %s from %v to %v after the send (dropped %v, ended %v)", r.Replica, r.Started.Sub(o.sent), r.Stopped.Sub(o.sent), r.Dropped, r.Ended)
		if r.Repeated != "" {
			fmt.Fprintf(&b, ", repeated the refusal %s", r.Repeated)
		}
	}
	return b.String()
}
