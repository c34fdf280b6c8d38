package watcher_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/watcher"
	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestWatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "watcher")
}

func hello() wire.Hello { return wire.Hello{Process: "entry", Role: wire.RoleEntry} }

var _ = Describe("A peer", func() {
	var snapshot *tables.Snapshot
	var address string

	BeforeEach(func() {
		routes, pools := fixture.Tables(3, 2, fixture.Targets("assistant", 2), nil)
		built, faults := tables.Build(7, &routes, &pools)
		Expect(faults).To(BeEmpty())
		snapshot = built
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		address = l.Addr().String()
		server := &watcher.PeerServer{Hello: hello, Snapshot: func() *tables.Snapshot { return snapshot }}
		go server.Serve(l)
	})

	dial := func() *watcher.PeerConn {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		peer, err := watcher.PeerClient{Hello: hello}.Dial(ctx, "entry", address)
		Expect(err).NotTo(HaveOccurred())
		return peer
	}

	// Entries query each other every few seconds. At 28,000 routes a manifest in
	// each reply would exceed the 3 KB/s that one VM may use for control traffic.
	It("sends its manifest only to an entry that holds another snapshot", func() {
		peer := dial()
		reply, err := peer.Revision(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Revision).To(Equal(uint64(7)))
		Expect(reply.Manifest).To(Equal(snapshot.Manifest()))
		reply, err = peer.Revision(snapshot.Digest)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Revision).To(Equal(uint64(7)))
		Expect(reply.Manifest).To(BeEmpty())
	})

	It("sends the parts of its snapshot, and no data for an unknown key", func() {
		peer := dial()
		for key, want := range snapshot.Parts() {
			data, err := peer.Part(key)
			Expect(err).NotTo(HaveOccurred())
			Expect(data).To(Equal(want))
		}
		data, err := peer.Part("none")
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(BeEmpty())
	})

	// A process that sends anything but these queries is not a peer.
	It("closes a connection on which another message arrives", func() {
		nc, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer nc.Close()
		conn := wire.NewConn(nc)
		_, err = conn.Handshake(hello())
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Write(&wire.Ping{})).To(Succeed())
		_, err = conn.Read(3 * time.Second)
		Expect(err).To(HaveOccurred())
		Expect(wire.IsTimeout(err)).To(BeFalse())
	})
})
