package peers_test

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/viewtrust"
	"agatelanding.example/agatelanding/internal/fixture"
)

// holdingLink forwards connections to an address. While it is held, nothing gets through.
type holdingLink struct {
	address string
	held    sync.RWMutex
}

func newHoldingLink(to string) *holdingLink {
	l := &holdingLink{address: fixture.FreeAddress()}
	listener, err := net.Listen("tcp", l.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	forward := func(dst, src net.Conn) {
		defer dst.Close()
		buffer := make([]byte, 64<<10)
		for {
			n, err := src.Read(buffer)
			if err != nil {
				return
			}
			l.held.RLock()
			_, err = dst.Write(buffer[:n])
			l.held.RUnlock()
			if err != nil {
				return
			}
		}
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go forward(out, in)
			go forward(in, out)
		}
	}()
	return l
}

var _ = Describe("A broadcast of the state", func() {
	// Guards against a view that counts as fresh because a message which was late has confirmed it.
	It("that is late is as old as it is when it arrives", func() {
		const readBefore, late = 100 * time.Millisecond, 800 * time.Millisecond
		knowsAge := func(e *entry) {
			e.mesh.ViewAge = func() (time.Duration, catalog.Position, bool) {
				return readBefore, catalog.Position{Revision: 9}, true
			}
			e.mesh.ReceiveViewAge = func(viewtrust.Stamp) {}
		}
		sender := newEntry(nil)
		knowsAge(sender)
		sender.start()
		link := newHoldingLink(sender.mesh.Address)
		receiver := newEntry(nil, link.address)
		knowsAge(receiver)
		ages := make(chan time.Duration, 8)
		receiver.mesh.ReceiveState = func(s peers.State) {
			ages <- s.Age
			Expect(s.Late).To(BeNumerically("~", s.Age-readBefore, 10*time.Millisecond))
		}
		receiver.start()
		state := peers.State{Complete: catalog.Position{Revision: 9}, Since: catalog.Position{Revision: 8}, Age: readBefore}
		var age time.Duration
		Eventually(func() chan time.Duration {
			sender.mesh.Broadcast(state)
			return ages
		}).Within(3 * time.Second).WithPolling(50 * time.Millisecond).Should(Receive(&age))
		Expect(age).To(BeNumerically("~", readBefore, 50*time.Millisecond))

		time.Sleep(200 * time.Millisecond)
		for len(ages) > 0 {
			<-ages
		}
		link.held.Lock()
		sender.mesh.Broadcast(state)
		time.Sleep(late)
		link.held.Unlock()
		Eventually(ages).Within(time.Second).Should(Receive(&age))
		Expect(age).To(BeNumerically(">=", readBefore+late-20*time.Millisecond))
	})
})
