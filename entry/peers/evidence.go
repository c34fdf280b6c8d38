package peers

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// maxEvidenceMessageBytes bounds the evidence in one message, and
	// evidenceBytesPerSecond that which an entry sends each peer in a second. Evidence
	// beyond that waits for the next second.
	maxEvidenceMessageBytes = 16 << 10
	evidenceBytesPerSecond  = 16 << 10
	// furtherBytesPerSecond bounds the further parts and their begins that an entry sends each
	// peer in a second besides, so that long prompts never delay other evidence.
	furtherBytesPerSecond = 32 << 10
	// maxUnsentFurther bounds the records of further parts, and their begins, that wait.
	maxUnsentFurther = 256
	// evidenceInterval is the shortest time between two messages with evidence. Many
	// engines that crash at once must not fill the queues of the connections.
	evidenceInterval = 50 * time.Millisecond
	// maxInitialEvidenceBytes bounds the evidence sent on a new connection.
	maxInitialEvidenceBytes = 128 << 10
	// maxInitialBegins bounds the begins among it, to leave room for crash records.
	maxInitialBegins = 1024
	// initialFurtherBytes bounds the further parts that all entries together send one on its new
	// connections, of which each sends at least minInitialFurther.
	initialFurtherBytes = 1 << 20
	minInitialFurther   = 8 << 10
	// Encoded sizes without the strings. Each string has its length in one more byte.
	crashBytes   = 28
	suspectBytes = 12
	begunBytes   = 16
	verdictBytes = 40
	furtherBytes = 2
	runsBytes    = 32
)

// Evidence is what entries tell each other of parts of prompts and whole requests under
// which targets crash.
type Evidence struct {
	Crashes  []quarantine.Crash
	Begins   []quarantine.Begin
	Verdicts []quarantine.Verdict
	// Further holds records of Crashes once more, with the further parts of their suspects, and
	// FurtherBegins the begins of such parts.
	Further       []quarantine.Crash
	FurtherBegins []quarantine.BegunRuns
}

func (e *Evidence) empty() bool {
	return len(e.Crashes) == 0 && len(e.Begins) == 0 && len(e.Verdicts) == 0 && len(e.Further) == 0 && len(e.FurtherBegins) == 0
}

// add appends evidence, up to what the receiver of one message keeps, and reports
// whether that is all of it.
func (e *Evidence) add(x Evidence) bool {
	count := func(e *Evidence) int {
		return len(e.Crashes) + len(e.Begins) + len(e.Verdicts) + len(e.Further) + len(e.FurtherBegins)
	}
	want := count(e) + count(&x)
	e.Crashes = append(e.Crashes, x.Crashes[:min(len(x.Crashes), wire.MaxCrashRecords-len(e.Crashes))]...)
	e.Begins = append(e.Begins, x.Begins[:min(len(x.Begins), wire.MaxBegunParts-len(e.Begins))]...)
	e.Verdicts = append(e.Verdicts, x.Verdicts[:min(len(x.Verdicts), wire.MaxPartVerdicts-len(e.Verdicts))]...)
	e.Further = append(e.Further, x.Further[:min(len(x.Further), maxUnsentFurther-len(e.Further))]...)
	e.FurtherBegins = append(e.FurtherBegins, x.FurtherBegins[:min(len(x.FurtherBegins), maxUnsentFurther-len(e.FurtherBegins))]...)
	return count(e) == want
}

// takeFurther removes further parts and their begins of up to maxBytes and returns them with
// their size.
func (e *Evidence) takeFurther(maxBytes int) (Evidence, int) {
	var t Evidence
	size := 0
	t.FurtherBegins, e.FurtherBegins = takeList(e.FurtherBegins, wire.MaxBegunRuns, maxBytes, &size, func(b quarantine.BegunRuns) int {
		return runsBytes + len(b.Target) + len(b.Suspect) + len(b.Runs)
	})
	t.Further, e.Further = takeList(e.Further, wire.MaxCrashRecords, maxBytes, &size, crashSize)
	return t, size
}

// take removes evidence of up to maxBytes and returns it with its size. Verdicts come
// first, because they stop requests, and begins before crashes, because they void the
// hits of a part.
func (e *Evidence) take(maxBytes int) (Evidence, int) {
	var t Evidence
	size := 0
	t.Verdicts, e.Verdicts = takeList(e.Verdicts, wire.MaxPartVerdicts, maxBytes, &size, func(v quarantine.Verdict) int {
		return verdictBytes + len(v.Part) + len(v.Entry)
	})
	t.Begins, e.Begins = takeList(e.Begins, wire.MaxBegunParts, maxBytes, &size, func(b quarantine.Begin) int { return begunBytes + len(b.Part) })
	t.Crashes, e.Crashes = takeList(e.Crashes, wire.MaxCrashRecords, maxBytes, &size, crashSize)
	return t, size
}

// takeList splits a list after the first elements, at most maxCount of them, that fit
// into maxBytes, and adds their size to *size.
func takeList[T any](list []T, maxCount, maxBytes int, size *int, sizeOf func(T) int) (taken, rest []T) {
	for i, x := range list {
		if n := sizeOf(x); i < maxCount && *size+n <= maxBytes {
			*size += n
		} else {
			return slices.Clip(list[:i]), list[i:]
		}
	}
	return list, nil
}

func crashSize(c quarantine.Crash) int {
	size := crashBytes + len(c.Target) + len(c.Pool) + len(c.FailureDomain)
	for _, s := range c.Suspects {
		size += suspectBytes
		for _, p := range s.Parts {
			size += 1 + len(p)
		}
		for _, f := range s.Further {
			size += furtherBytes + len(f.Part)
		}
	}
	return size
}

// items returns the message that carries the evidence at a time.
func (e *Evidence) items(now time.Time) *wire.Items {
	ageMS := func(at time.Time) int64 { return wire.AgeMS(now.Sub(at)) }
	x := &wire.Items{}
	for _, c := range slices.Concat(e.Crashes, e.Further) {
		record := wire.CrashRecord{Target: c.Target, StartedAtMS: c.StartedAtMS, AgeMS: ageMS(c.At), Pool: c.Pool, FailureDomain: c.FailureDomain}
		for _, s := range c.Suspects {
			suspect := wire.Suspect{AgeMS: ageMS(s.SentAt), Further: quarantine.FormatFurther(s.Further)}
			for _, p := range s.Parts {
				suspect.Parts = append(suspect.Parts, string(p))
			}
			record.Suspects = append(record.Suspects, suspect)
		}
		x.Crashes = append(x.Crashes, record)
	}
	for _, b := range e.Begins {
		x.Begun = append(x.Begun, wire.BegunPart{Part: string(b.Part), AgeMS: ageMS(b.At)})
	}
	for _, b := range e.FurtherBegins {
		x.BegunRuns = append(x.BegunRuns, wire.BegunRuns{Target: b.Target, StartedAtMS: b.StartedAtMS, Suspect: string(b.Suspect), Runs: b.Runs, AgeMS: ageMS(b.At)})
	}
	for _, v := range e.Verdicts {
		x.Verdicts = append(x.Verdicts, wire.PartVerdict{
			Part: string(v.Part), Generation: v.Generation, Quarantined: v.Quarantined, AgeMS: ageMS(v.Since), Crashes: v.Crashes, Entry: v.Entry, Trials: v.Trials,
			AskedAgeMS: ageMS(v.LastAskedAt),
		})
	}
	return x
}

// evidenceOf returns the evidence in a message that was received at a time.
func evidenceOf(x *wire.Items, now time.Time) Evidence {
	x.BoundEvidence()
	var e Evidence
	for _, c := range x.Crashes {
		crash := quarantine.Crash{
			Incarnation: quarantine.Incarnation{Target: c.Target, StartedAtMS: c.StartedAtMS}, At: now.Add(-wire.Age(c.AgeMS)),
			Pool: c.Pool, FailureDomain: c.FailureDomain,
		}
		for _, s := range c.Suspects {
			suspect := quarantine.Suspect{SentAt: now.Add(-wire.Age(s.AgeMS)), Further: quarantine.ParseFurther(s.Further)}
			for _, p := range s.Parts {
				suspect.Parts = append(suspect.Parts, quarantine.Part(p))
			}
			crash.Suspects = append(crash.Suspects, suspect)
		}
		e.Crashes = append(e.Crashes, crash)
	}
	for _, b := range x.Begun {
		e.Begins = append(e.Begins, quarantine.Begin{Part: quarantine.Part(b.Part), At: now.Add(-wire.Age(b.AgeMS))})
	}
	for _, b := range x.BegunRuns {
		e.FurtherBegins = append(e.FurtherBegins, quarantine.BegunRuns{
			Incarnation: quarantine.Incarnation{Target: b.Target, StartedAtMS: b.StartedAtMS}, Suspect: quarantine.Part(b.Suspect), Runs: b.Runs, At: now.Add(-wire.Age(b.AgeMS)),
		})
	}
	for _, v := range x.Verdicts {
		e.Verdicts = append(e.Verdicts, quarantine.Verdict{
			Part: quarantine.Part(v.Part), Generation: v.Generation, Quarantined: v.Quarantined, Since: now.Add(-wire.Age(v.AgeMS)), Crashes: v.Crashes, Entry: v.Entry, Trials: v.Trials,
			LastAskedAt: now.Add(-wire.Age(v.AskedAgeMS)),
		})
	}
	return e
}

// BroadcastEvidence sends evidence to all connected peers, at once if none was sent
// within evidenceInterval.
func (m *Mesh) BroadcastEvidence(e Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unsent.add(e) {
		m.Log.Warn("evidence for other entries was left out")
	}
	if m.evidencePending || m.unsent.empty() {
		return
	}
	now := time.Now()
	if wait := evidenceInterval - now.Sub(m.evidenceSentAt); wait > 0 {
		m.evidencePending = true
		time.AfterFunc(wait, m.sendPendingEvidence)
		return
	}
	m.sendEvidence(now)
}

func (m *Mesh) sendPendingEvidence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evidencePending = false
	m.sendEvidence(time.Now())
}

// sendEvidence sends the evidence that waits, within evidenceBytesPerSecond. The
// caller holds mu.
func (m *Mesh) sendEvidence(now time.Time) {
	m.evidenceSentAt = now
	if now.Sub(m.evidenceSecond) >= time.Second {
		m.evidenceSecond, m.evidenceBytes, m.furtherBytes = now, 0, 0
	}
	for !m.unsent.empty() {
		message, size := m.unsent.take(min(maxEvidenceMessageBytes, evidenceBytesPerSecond-m.evidenceBytes))
		m.evidenceBytes += size
		if message.empty() {
			message, size = m.unsent.takeFurther(min(maxEvidenceMessageBytes, furtherBytesPerSecond-m.furtherBytes))
			m.furtherBytes += size
		}
		if message.empty() {
			return
		}
		sent := make(map[string]bool)
		for c := range m.conns {
			// A connection whose peer has not sent its address gets the evidence too:
			// register has sent it only what was known before.
			if c.address == "" || !sent[c.address] {
				sent[c.address] = true
				m.enqueue(c, message)
			}
		}
	}
}

// sendInitialEvidence sends the verdicts and crash records of this entry on a new
// connection. Its queue is empty but for one message.
func (m *Mesh) sendInitialEvidence(c *peerConn) {
	if m.CurrentEvidence == nil {
		return
	}
	e := m.CurrentEvidence()
	e.Begins = e.Begins[:min(len(e.Begins), maxInitialBegins)]
	m.sendWithin(c, maxInitialEvidenceBytes, e.take)
	m.sendWithin(c, min(maxInitialEvidenceBytes, max(minInitialFurther, initialFurtherBytes/m.EntryCount())), e.takeFurther)
}

// sendWithin sends what take returns, up to a number of bytes.
func (m *Mesh) sendWithin(c *peerConn, budget int, take func(maxBytes int) (Evidence, int)) {
	for {
		message, size := take(min(maxEvidenceMessageBytes, budget))
		if message.empty() {
			return
		}
		budget -= size
		m.enqueue(c, message)
	}
}

// ConnectedAddresses returns the addresses of this entry and of the entries that it is
// connected with.
func (m *Mesh) ConnectedAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []string{m.Address}
	for c := range m.conns {
		if c.address != "" {
			list = append(list, c.address)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
