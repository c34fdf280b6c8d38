package edge

import (
	"fmt"
	"testing"
)

// Guards against a line for each registration of an odd item, and against memory that grows
// with the keys of another writer.
func TestMalformedKeysAreNewOnce(t *testing.T) {
	var keys malformedKeys
	for i, step := range []struct{ malformed, isNew bool }{{false, false}, {true, true}, {true, false}, {false, true}, {false, false}, {true, true}} {
		if got := keys.changed("servers/a", step.malformed); got != step.isNew {
			t.Errorf("step %d: new is %v", i, got)
		}
	}
	lines := 0
	for i := range 10 * maxMalformedKeys {
		if keys.changed(fmt.Sprint(i), true) {
			lines++
		}
	}
	if lines >= maxMalformedKeys || len(keys) > maxMalformedKeys {
		t.Errorf("%d lines, %d keys", lines, len(keys))
	}
}
