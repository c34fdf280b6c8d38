package edge

import (
	"testing"

	"agatelanding.example/agatelanding/internal/catalog"
)

// Guards against a request that was granted a target, waited, and is sent there after it has left.
func TestTargetsThatTakeRequests(t *testing.T) {
	granted := catalog.Target{ID: "a", Address: "127.0.0.1:80", StartedAtMS: 5}
	with := func(change func(*catalog.Target)) map[string]*catalog.Target {
		listed := granted
		change(&listed)
		return map[string]*catalog.Target{"a": &listed}
	}
	for name, step := range map[string]struct {
		targets map[string]*catalog.Target
		want    bool
	}{
		"listed":                    {with(func(*catalog.Target) {}), true},
		"removed":                   {nil, false},
		"draining":                  {with(func(x *catalog.Target) { x.Draining = true }), false},
		"another incarnation":       {with(func(x *catalog.Target) { x.StartedAtMS = 6 }), false},
		"moved to another address":  {with(func(x *catalog.Target) { x.Address = "127.0.0.1:81" }), false},
		"other fields have changed": {with(func(x *catalog.Target) { x.MaxRunning = 7 }), true},
	} {
		e := &Edge{}
		e.newestView.Store(&catalog.View{Targets: step.targets})
		if got := e.takesRequests(&granted); got != step.want {
			t.Errorf("%s: %t", name, got)
		}
	}
	e := &Edge{}
	e.newestView.Store(&catalog.View{Targets: with(func(*catalog.Target) {})})
	if e.leaving.Add(&granted); e.takesRequests(&granted) {
		t.Error("a target that has said in an answer that it leaves takes requests")
	}
}
