package peers_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

var _ = BeforeSuite(func() { Expect(telemetry.SetupLogs(GinkgoWriter, "info")).To(Succeed()) })

// entry is one entry of a mesh. It counts the queries and keeps the items that it
// receives.
type entry struct {
	mesh             *peers.Mesh
	queries          atomic.Int64
	messages         atomic.Int64
	mu               sync.Mutex
	items            []wire.Item
	completeRevision uint64
	evidence         peers.Evidence
}

func (e *entry) received() ([]wire.Item, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.Item(nil), e.items...), e.completeRevision
}

func startEntry(items []wire.Item, seeds ...string) *entry {
	e := newEntry(items, seeds...)
	e.start()
	return e
}

func newEntry(items []wire.Item, seeds ...string) *entry {
	e := &entry{}
	address := fixture.FreeAddress()
	e.mesh = &peers.Mesh{
		Address: address, Seeds: seeds, Log: telemetry.For("peers"),
		Hello: func() wire.Hello { return wire.Hello{Process: address, Role: wire.RoleEntry} },
		StateAfter: func(after catalog.Position) peers.State {
			e.queries.Add(1)
			var list []wire.Item
			completeRevision := uint64(0)
			for _, i := range items {
				completeRevision = max(completeRevision, i.Revision)
				if i.Revision > after.Revision {
					list = append(list, i)
				}
			}
			return peers.State{Items: list, Complete: catalog.Position{Revision: completeRevision}}
		},
		ReceiveState: func(s peers.State) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.items, e.completeRevision = append(e.items, s.Items...), max(e.completeRevision, s.Complete.Revision)
		},
	}
	return e
}

func (e *entry) start() {
	listener, err := net.Listen("tcp", e.mesh.Address)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(func() {
		cancel()
		_ = listener.Close()
	})
	go e.mesh.Run(ctx, listener)
}

func items(n, size int) []wire.Item {
	var list []wire.Item
	for i := range n {
		list = append(list, wire.Item{Key: fmt.Sprintf("k%d", i), Revision: uint64(10 + i), Value: make([]byte, size)})
	}
	return list
}

var _ = Describe("Entries", func() {
	It("find each other through one seed, although another seed is stale", func() {
		a := startEntry(nil, "127.0.0.1:1")
		b := startEntry(nil, a.mesh.Address)
		c := startEntry(nil, a.mesh.Address)
		for _, e := range []*entry{a, b, c} {
			Eventually(e.mesh.EntryCount).Within(4 * time.Second).Should(BeNumerically(">=", 3))
		}
	})

	It("connect with each other if they reach the same seed at the same moment", func() {
		a := startEntry(nil)
		list := []*entry{a, startEntry(nil, a.mesh.Address), startEntry(nil, a.mesh.Address), startEntry(nil, a.mesh.Address)}
		for _, e := range list {
			Eventually(e.connected).Within(4 * time.Second).Should(Equal(4))
		}
	})

	// Guards against entries that send their state unasked at every start and
	// change: 32 such entries on links of 10 Mbit/s took seconds to recover.
	It("send no state to an entry that does not ask for it", func() {
		a := startEntry(items(10, 100))
		b := startEntry(nil, a.mesh.Address)
		Eventually(b.mesh.EntryCount).Within(3 * time.Second).Should(Equal(2))
		time.Sleep(1200 * time.Millisecond)
		got, _ := b.received()
		Expect(got).To(BeEmpty())
		Expect(a.queries.Load()).To(BeZero())
	})

	// Guards against a connection that ends at each query, because a configuration of the largest
	// size does not fit into a message, and against a reply that counts as whole without it.
	It("answer a query without an item that fits into no message, and say that the rest is not all", func() {
		list := append(items(3, 100), wire.Item{Key: "op/config", Revision: 20, Value: make([]byte, 1<<20)})
		a := startEntry(list)
		b := startEntry(nil, a.mesh.Address)
		Eventually(b.connected).Within(4 * time.Second).Should(Equal(2))
		for range 3 {
			b.mesh.QueryPeers(2, catalog.Position{})
			time.Sleep(100 * time.Millisecond)
		}
		got, completeRevision := b.received()
		Expect(got).To(HaveLen(9))
		Expect(completeRevision).To(BeZero())
		Expect(b.connected()).To(Equal(2))
	})

	It("answer a query with the changes after its revision, although they exceed one message", func() {
		a := startEntry(items(8, 300<<10))
		b := startEntry(nil, a.mesh.Address)
		Eventually(func() uint64 {
			b.mesh.QueryPeers(2, catalog.Position{Revision: 12})
			_, completeRevision := b.received()
			return completeRevision
		}).Within(4 * time.Second).WithPolling(300 * time.Millisecond).Should(Equal(uint64(17)))
		got, _ := b.received()
		Expect(len(got)).To(BeNumerically(">=", 5))
		for _, i := range got {
			Expect(i.Revision).To(BeNumerically(">", 12))
		}
	})
})
