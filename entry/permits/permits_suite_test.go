package permits_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/permits"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/knownred"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestPermits(t *testing.T) {
	RegisterFailHandler(Fail)
	knownred.RunSpecs(t, "permits")
}

// settled is longer than an owner waits after a change of its connections.
const settled = ratelimit.SettleTime + 100*time.Millisecond

// mesh records what an Exchange sends to two other entries.
type mesh struct {
	mu        sync.Mutex
	connected []string
	sent      map[string][]*wire.Items
}

func (m *mesh) PermitPeers() ([]string, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected, 3
}

func (m *mesh) SendTo(address string, x *wire.Items) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent[address] = append(m.sent[address], x)
}

func (m *mesh) SendToAll(x *wire.Items) { m.SendTo("all", x) }

// asks returns the asks that were sent to an entry.
func (m *mesh) asks(address string) []wire.PermitAsk {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []wire.PermitAsk
	for _, x := range m.sent[address] {
		list = append(list, x.PermitAsks...)
	}
	return list
}

// permits returns the permits that were sent to an entry.
func (m *mesh) permits(address string) []wire.Permit {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []wire.Permit
	for _, x := range m.sent[address] {
		list = append(list, x.Permits...)
	}
	return list
}

func newExchange() (*permits.Exchange, *mesh) {
	m := &mesh{connected: []string{"a", "b", "c"}, sent: map[string][]*wire.Items{}}
	e := &permits.Exchange{Address: "a", Mesh: m, ReceiveRateLimits: func([]wire.RateLimit) {}, Metrics: telemetry.NewMetrics()}
	e.Start()
	return e, m
}

// owner returns the owner of a key in the view of an entry that is connected with others.
func owner(k ratelimit.Key, connected ...string) string {
	o := ratelimit.NewOwnership(time.Now(), "a")
	o.SetMembers(time.Now(), connected, 3)
	return o.Owner(k)
}

// keyWhere returns a key for which a condition holds.
func keyWhere(condition func(k ratelimit.Key) bool) ratelimit.Key {
	k := ratelimit.Key{Target: "t"}
	for !condition(k) {
		k.StartedAtMS++
	}
	return k
}

// keyOwnedBy returns the key of a target that one of the three entries owns.
func keyOwnedBy(entry string) ratelimit.Key {
	return keyWhere(func(k ratelimit.Key) bool { return owner(k, "a", "b", "c") == entry })
}

// ask asks for a permit and returns the channel of the reply.
func ask(e *permits.Exchange, requestNumber uint64, k ratelimit.Key, wait time.Duration) chan bool {
	reply := make(chan bool, 2)
	e.Ask(requestNumber, ratelimit.Ask{Key: k, Rate: 20, Deadline: time.Now().Add(wait)}, func(granted bool, _ time.Duration) { reply <- granted })
	return reply
}

var _ = Describe("An entry that asks for a permit", func() {
	It("asks the owner and gets its reply once", func() {
		e, m := newExchange()
		reply := ask(e, 7, keyOwnedBy("b"), time.Second)
		Expect(m.asks("b")).To(HaveLen(1))
		number := m.asks("b")[0].Number
		e.Receive("b", &wire.Items{Permits: []wire.Permit{{Number: number, Granted: true}}})
		Expect(<-reply).To(BeTrue())
		e.Receive("b", &wire.Items{Permits: []wire.Permit{{Number: number, Granted: true}}})
		Consistently(reply).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
	})

	// Guards against requests that wait for an owner which has stopped.
	It("counts an ask without a reply as refused", func() {
		e, _ := newExchange()
		Eventually(ask(e, 7, keyOwnedBy("b"), 50*time.Millisecond)).Within(time.Second).Should(Receive(BeFalse()))
	})

	It("withdraws the ask at the entry that it asked", func() {
		e, m := newExchange()
		reply := ask(e, 7, keyOwnedBy("b"), 50*time.Millisecond)
		e.Withdraw(7)
		e.Withdraw(7)
		asks := m.asks("b")
		Expect(asks).To(HaveLen(2))
		Expect(asks[1].Number).To(Equal(asks[0].Number))
		Expect(asks[1].Withdrawn).To(BeTrue())
		Consistently(reply).WithTimeout(500 * time.Millisecond).ShouldNot(Receive())
	})
})

var _ = Describe("An owner", func() {
	It("grants its own asks and those of others from one bucket, after its view has settled", func() {
		e, m := newExchange()
		k := keyOwnedBy("a")
		theirs := func(number uint64, wait time.Duration) *wire.Items {
			return &wire.Items{PermitAsks: []wire.PermitAsk{{Number: number, Target: k.Target, StartedAtMS: k.StartedAtMS, PerSecond: 20, WaitMS: wait.Milliseconds()}}}
		}
		e.Receive("b", theirs(1, 0))
		Expect(m.permits("b")).To(ConsistOf(HaveField("Granted", false)))
		time.Sleep(settled)
		began := time.Now()
		reply := ask(e, 1, k, time.Second)
		for number := uint64(2); number < 9; number++ {
			e.Receive("b", theirs(number, time.Second))
		}
		Expect(<-reply).To(BeTrue())
		Eventually(func() int { return len(m.permits("b")) }).Within(time.Second).Should(Equal(8))
		// Eight permits at 20 a second, from an empty bucket.
		Expect(time.Since(began)).To(BeNumerically(">", 350*time.Millisecond))
	})

	// Guards against requests that ask themselves for a permit again and again, are refused
	// although there is one, and keep the entry busy until their deadline.
	It("grants its own ask that may not wait if there is a permit", func() {
		e, _ := newExchange()
		k := keyOwnedBy("a")
		// The first ask makes the exchange look at its connections.
		Expect(<-ask(e, 1, k, 0)).To(BeFalse())
		time.Sleep(settled)
		Expect(<-ask(e, 1, k, time.Second)).To(BeTrue())
		time.Sleep(100 * time.Millisecond)
		began, granted := time.Now(), 0
		for number := range uint64(30) {
			if <-ask(e, 2+number, k, 0) {
				granted++
			}
		}
		Expect(granted).To(BeNumerically(">=", 1))
		// A bucket saves a quarter of a second at 20 a second.
		Expect(granted).To(BeNumerically("<=", 6+int(20*time.Since(began).Seconds())))
	})

	It("refuses what waits when another entry becomes the owner", func() {
		e, m := newExchange()
		m.connected = []string{"a", "b"}
		k := keyWhere(func(k ratelimit.Key) bool { return owner(k, "a", "b") == "a" && owner(k, "a", "b", "c") == "c" })
		Eventually(ask(e, 1, k, 0)).Should(Receive(BeFalse()))
		time.Sleep(settled)
		reply := make(chan bool, 1)
		e.Ask(2, ratelimit.Ask{Key: k, Rate: 0.2, Deadline: time.Now().Add(10 * time.Second)}, func(granted bool, _ time.Duration) { reply <- granted })
		m.mu.Lock()
		m.connected = []string{"a", "b", "c"}
		m.mu.Unlock()
		e.Receive("b", &wire.Items{})
		Expect(<-reply).To(BeFalse())
	})
})

var _ = Describe("The rates that an entry passes on to others that connect", func() {
	listed := func(ratelimit.Key) bool { return true }

	It("are the newest, with their present ages", func() {
		e, _ := newExchange()
		e.Receive("b", &wire.Items{RateLimits: []wire.RateLimit{{Target: "t", PerSecond: 2, AgeMS: 100, SinceMS: 900}}})
		e.Receive("c", &wire.Items{RateLimits: []wire.RateLimit{{Target: "t", PerSecond: 9, AgeMS: 5000}}})
		time.Sleep(30 * time.Millisecond)
		limits := e.Limits(listed)
		Expect(limits).To(HaveLen(1))
		Expect(limits[0].PerSecond).To(Equal(2.0))
		Expect(limits[0].AgeMS).To(BeNumerically(">=", 130))
		Expect(limits[0].SinceMS).To(BeNumerically(">=", 930))
		Expect(e.Limits(func(ratelimit.Key) bool { return false })).To(BeEmpty())
	})

	// Guards against incarnations of the past that keep a new rate from entries that join.
	It("hold a new one when there are as many as they may be", func() {
		e, _ := newExchange()
		for i := range 2 * wire.MaxRateLimits {
			e.Receive("b", &wire.Items{RateLimits: []wire.RateLimit{{Target: fmt.Sprint("old-", i), PerSecond: 1, AgeMS: 60_000}}})
		}
		e.Receive("b", &wire.Items{RateLimits: []wire.RateLimit{{Target: "new", PerSecond: 1}}})
		limits := e.Limits(listed)
		Expect(limits).To(HaveLen(wire.MaxRateLimits))
		Expect(slices.ContainsFunc(limits, func(l wire.RateLimit) bool { return l.Target == "new" })).To(BeTrue())
	})
})
