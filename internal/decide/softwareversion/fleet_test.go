package softwareversion_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/recall"
	sv "agatelanding.example/agatelanding/internal/decide/softwareversion"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

const (
	pool = "llm"
	// streamTime is the longest time from the first event of a stream to its last take-up.
	streamTime = 15 * time.Second
	copies     = 3
)

// fleetStream is a stream that began at a version. lost is true once all that recorded it
// have lost their memory.
type fleetStream struct {
	key     string
	version string
	began   time.Time
	entry   int
	holders map[string]bool
}

type fleetEntry struct {
	own  *recall.Memory
	seen *sv.Seen
}

// fleet simulates entries and holders that lose their memory at any moment, while the
// versions of a pool come and go.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	entries []*fleetEntry
	names   []recall.Holder
	holders map[string]*recall.Memory
	streams []*fleetStream
	// versions are those listed, and listed is when each was listed last.
	versions []string
	listed   map[string]time.Time
	next     int
}

func newFleet(seed int64, entries, holders, domains int) *fleet {
	f := &fleet{random: rand.New(rand.NewSource(seed)), now: start, holders: make(map[string]*recall.Memory), versions: []string{"v0"}, listed: make(map[string]time.Time)}
	for i := range holders {
		h := recall.Holder{Name: fmt.Sprint("vm", i), FailureDomain: fmt.Sprint("z", i%domains)}
		f.names = append(f.names, h)
		f.holders[h.Name] = recall.NewMemory()
	}
	for range entries {
		f.entries = append(f.entries, &fleetEntry{own: recall.NewMemory(), seen: sv.NewSeen(f.now)})
	}
	return f
}

// restartEntry makes an entry forget all. It reads the history of the store, if that is to be
// had, and what holders know of versions.
func (f *fleet) restartEntry(i int, history bool) {
	e := &fleetEntry{own: recall.NewMemory(), seen: sv.NewSeen(f.now)}
	f.entries[i] = e
	if history {
		for version, at := range f.listed {
			if f.now.Sub(at) < sv.Needed {
				e.seen.Add(f.now, pool, version, at)
			}
		}
		e.seen.Cover(f.now.Add(-sv.Needed))
	}
	for _, s := range f.streams {
		if s.entry == i {
			s.entry = -1
		}
	}
}

func (f *fleet) restartHolder(name string) {
	f.holders[name] = recall.NewMemory()
	for _, s := range f.streams {
		delete(s.holders, name)
	}
}

// begin begins a stream at one of the listed versions.
func (f *fleet) begin() {
	i := f.random.Intn(len(f.entries))
	s := &fleetStream{
		key: fmt.Sprint("attempt", f.next), version: f.versions[f.random.Intn(len(f.versions))], began: f.now, entry: i, holders: make(map[string]bool),
	}
	f.next++
	fact := recall.Fact{Kind: recall.Stream, Key: s.key, Value: []byte(s.version), Order: 1, At: f.now, TTL: 2 * time.Minute}
	f.entries[i].own.Put(f.now, fact)
	for _, name := range recall.NewHolders(f.names).Of(s.key, copies) {
		f.holders[name].Put(f.now, fact)
		s.holders[name] = true
	}
	f.streams = append(f.streams, s)
}

// takeUp takes a stream up at an entry and returns what is wrong with the decision.
func (f *fleet) takeUp(s *fleetStream, i int) string {
	e := f.entries[i]
	t := sv.TakeUp{SamePool: true}
	got, known := e.own.Get(f.now, recall.Stream, s.key)
	for _, name := range recall.NewHolders(f.names).Of(s.key, 12) {
		if !known {
			got, known = f.holders[name].Get(f.now, recall.Stream, s.key)
		}
	}
	t.Known, t.Version = known, string(got.Value)
	t.Versions, t.Complete = e.seen.Versions(f.now, pool)
	decision, version := sv.Decide(t)
	switch {
	case decision == sv.Any, decision == sv.Only && version != s.version:
		return fmt.Sprintf("joined: %s began at %s and goes on at %q (known: %v, versions %v)", s.key, s.version, version, known, t.Versions)
	case decision == sv.None && (s.entry == i || len(s.holders) > 0):
		return fmt.Sprintf("starved: %s is known to %d holders", s.key, len(s.holders))
	}
	return ""
}

// tick lets half a second pass, with what may happen in it.
func (f *fleet) tick() string {
	f.now = f.now.Add(500 * time.Millisecond)
	switch f.random.Intn(12) {
	case 0:
		f.versions = append(f.versions, fmt.Sprint("v", f.now.Unix()))
	case 1:
		if len(f.versions) > 1 {
			f.versions = f.versions[1:]
		}
	case 2:
		f.restartEntry(f.random.Intn(len(f.entries)), f.random.Intn(3) > 0)
	case 3:
		f.restartHolder(f.names[f.random.Intn(len(f.names))].Name)
	case 4:
		domain := f.names[f.random.Intn(len(f.names))].FailureDomain
		for _, h := range f.names {
			if h.FailureDomain == domain {
				f.restartHolder(h.Name)
			}
		}
	case 5:
		for i := range f.entries {
			f.restartEntry(i, f.random.Intn(3) > 0)
		}
		if f.random.Intn(3) == 0 {
			for _, h := range f.names {
				f.restartHolder(h.Name)
			}
		}
	}
	for _, v := range f.versions {
		f.listed[v] = f.now
		for _, e := range f.entries {
			e.seen.Add(f.now, pool, v, f.now)
		}
	}
	f.begin()
	for _, s := range f.streams {
		if f.now.Sub(s.began) < streamTime && f.random.Intn(4) == 0 {
			if problem := f.takeUp(s, f.random.Intn(len(f.entries))); problem != "" {
				return problem
			}
		}
	}
	return ""
}

// Guards against streams that go on at another version, and against refusals of streams whose
// version is known, whatever processes lose their memory at whatever moment.
func TestRandomLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Int64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "entries"), rapid.IntRange(1, 12).Draw(t, "holders"), rapid.IntRange(1, 4).Draw(t, "domains"))
		for range 240 {
			if problem := f.tick(); problem != "" {
				t.Fatalf("after %v: %s", f.now.Sub(start), problem)
			}
		}
	})
}
