package viewtrust_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/viewtrust"
)

// TestAgeOfWhatLateMessagesTell guards against a view that counts as fresher than it is: beside
// messages that are late, an age lacks at most the time that the fastest one was on its way.
func TestAgeOfWhatLateMessagesTell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 2 * time.Millisecond
		var c viewtrust.PeerClock
		if _, known := c.Age(1, 2); known {
			t.Fatal("an age without a message")
		}
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		// Speeds of clocks differ by up to 100 millionths.
		rate := 1 + float64(rapid.IntRange(-100, 100).Draw(t, "millionths"))*1e-6
		peer := func(now time.Duration) time.Duration { return offset + time.Duration(float64(now)*rate) }
		now := time.Hour
		c.Observe(peer(now-base), now)
		sinceFast := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			pause := time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause ms")) * time.Millisecond
			now, sinceFast = now+pause, sinceFast+pause
			late := time.Duration(rapid.IntRange(0, 3000).Draw(t, "late ms")) * time.Millisecond
			if sinceFast > 10*time.Second {
				late = 0
			}
			if late == 0 {
				sinceFast = 0
			}
			now += late
			sinceFast += late
			readAt := now - late - base - time.Duration(rapid.IntRange(0, 2000).Draw(t, "age ms"))*time.Millisecond
			c.Observe(peer(now-late-base), now)
			age, _ := c.Age(peer(readAt), now)
			if want := now - readAt; age < want-base-10*time.Millisecond || age > want+10*time.Millisecond {
				t.Fatalf("an age of %s for what is %s old", age, want)
			}
		}
	})
}
