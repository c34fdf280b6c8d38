package containment

import (
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
)

const (
	// maxLeaving bounds the remembered targets. Those that were added longer than
	// leavingTTL ago make room for others.
	leavingTTL = 10 * time.Minute
	maxLeaving = 4096
)

// LeavingTargets remembers the targets that have announced that they leave. It is safe
// for concurrent use; the zero value is empty.
type LeavingTargets struct {
	mu    sync.Mutex
	since map[quarantine.Incarnation]time.Time
}

func incarnationOf(t *catalog.Target) quarantine.Incarnation {
	return quarantine.Incarnation{Target: t.ID, StartedAtMS: t.StartedAtMS}
}

// Add records that a target leaves.
func (l *LeavingTargets) Add(t *catalog.Target) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == nil {
		l.since = make(map[quarantine.Incarnation]time.Time)
	}
	if len(l.since) >= maxLeaving {
		for incarnation, at := range l.since {
			if now.Sub(at) > leavingTTL {
				delete(l.since, incarnation)
			}
		}
	}
	if len(l.since) < maxLeaving {
		l.since[incarnationOf(t)] = now
	}
}

// Has reports whether a target leaves.
func (l *LeavingTargets) Has(t *catalog.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.since[incarnationOf(t)]
	return ok
}
