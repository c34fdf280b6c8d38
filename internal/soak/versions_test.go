package soak_test

import (
	"strings"

	"agatelanding.example/agatelanding/platform/standin"
)

// eventsAfter returns the events of a whole stream after one of them.
func eventsAfter(id string, event int) string {
	var b strings.Builder
	for n := event + 1; n <= streamEvents; n++ {
		b.WriteString(standin.Event(id, n))
	}
	return b.String()
}

// takeUp takes up the stream of a request that broke off after some events.
func (s *soak) takeUp(front string, o outcome) {
	events := strings.Count(o.body, "\n\n")
	if o.kind != "query" || o.status != 200 || o.err == nil || events == 0 {
		return
	}
	given := outcome{resumes: o.id, event: events}
	s.send(front, "/query/x", o.adapter, o.part, given)
}

// checkVersions checks that no stream has events of engines of two software versions, over
// all requests that took it up.
func (s *soak) checkVersions(runs map[string][]standin.Run) {
	began := make(map[string]string)
	takeUps, wentOn := 0, 0
	for _, o := range s.outcomes {
		if o.resumes != "" {
			began[o.id] = o.resumes
			takeUps++
			if o.status == 200 && o.err == nil {
				wentOn++
			}
		}
	}
	versions := make(map[string]any)
	for id, list := range runs {
		stream := id
		if first, ok := began[id]; ok {
			stream = first
		}
		for _, run := range list {
			if run.Events == 0 || !strings.HasPrefix(run.URI, "/query/") {
				continue
			}
			if v, known := versions[stream]; known && v != run.SoftwareVersion {
				s.t.Errorf("the stream of %s has events of versions %v and %v", stream, v, run.SoftwareVersion)
			}
			versions[stream] = run.SoftwareVersion
		}
	}
	s.t.Logf("%d streams were taken up, %d went on to their end", takeUps, wentOn)
}
