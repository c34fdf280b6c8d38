package joint_test

import (
	"maps"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
)

// link is the connection between one incarnation of an entry and the process
// beside an engine. Messages arrive in order, or not at all once the session is
// lost.
type link struct {
	sim           *simulation
	entry         *entry
	targetProcess *targetProcess
	// ids holds the IDs of the engines that the entry connects to here.
	ids map[string]bool
	// session is the number of the open session, 0 without one.
	session engineagent.SessionID
	// entryIncarnation and targetIncarnation are the incarnations of the two
	// processes.
	entryIncarnation  int
	targetIncarnation int
	// lastToTargetProcess and lastToEntry are the arrival times of the latest message
	// to the target process and to the entry.
	lastToTargetProcess time.Duration
	lastToEntry         time.Duration
}

// delayInOrder draws the delay of the next message in one direction. last is
// the arrival time of the message before it, which is not overtaken.
func (sim *simulation) delayInOrder(last *time.Duration) time.Duration {
	*last = max(sim.clock.elapsed+sim.delay(1, 30), *last)
	return *last - sim.clock.elapsed
}

func (l *link) sendToTargetProcess(message any) {
	session := l.session
	if session == 0 {
		return
	}
	l.sim.clock.after(l.sim.delayInOrder(&l.lastToTargetProcess), func() {
		if l.session == session {
			l.targetProcess.do(l.targetIncarnation, func() { l.targetProcess.receive(session, message) })
		}
	})
}

func (l *link) sendToEntry(message any) {
	session := l.session
	l.sim.clock.after(l.sim.delayInOrder(&l.lastToEntry), func() {
		if l.session == session {
			l.entry.do(l.entryIncarnation, func() { l.entry.receive(l, message) })
		}
	})
}

// connect opens a session as soon as the target process runs and the entry can reach
// it.
func (l *link) connect() {
	l.sim.clock.after(l.sim.delay(20, 250), func() {
		switch {
		case l.entry.incarnation != l.entryIncarnation || l.entry.links[l.targetProcess.number] != l:
		case l.entry.unreachable[l.targetProcess.number] || l.targetProcess.incarnation == 0 || l.targetProcess.pausedUntil > l.sim.clock.elapsed:
			l.connect()
		default:
			l.openSession()
		}
	})
}

func (l *link) openSession() {
	l.sim.lastSession++
	l.session, l.targetIncarnation = l.sim.lastSession, l.targetProcess.incarnation
	l.lastToTargetProcess, l.lastToEntry = 0, 0
	l.targetProcess.sessionOpened(l)
	l.entry.do(l.entryIncarnation, func() {
		for _, id := range l.sortedIDs() {
			l.entry.perform(l.entry.steering.SessionUp(l.sim.clock.now(), id))
		}
	})
}

// closeSession ends the session. Each side is notified after its own delay, and
// the entry then connects again.
func (l *link) closeSession() {
	session := l.session
	if session == 0 {
		return
	}
	l.session = 0
	targetIncarnation := l.targetIncarnation
	l.sim.clock.after(l.sim.delay(1, 50), func() {
		l.targetProcess.do(targetIncarnation, func() { l.targetProcess.sessionClosed(session) })
	})
	l.sim.clock.after(l.sim.delay(1, 50), func() {
		l.entry.do(l.entryIncarnation, func() {
			for _, id := range l.sortedIDs() {
				l.entry.perform(l.entry.steering.SessionLost(l.sim.clock.now(), id))
			}
		})
		l.connect()
	})
}

func (l *link) sortedIDs() []string { return slices.Sorted(maps.Keys(l.ids)) }
