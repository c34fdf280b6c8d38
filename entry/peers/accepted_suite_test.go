package peers_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An entry to which many connections are opened", func() {
	It("closes those above its bound, and accepts others once these have ended", func() {
		e := newEntry(nil)
		e.mesh.MaxAccepted = 3
		e.start()
		// opened reports whether the entry sends its Hello on a new connection.
		opened := func() (net.Conn, bool) {
			c, err := net.Dial("tcp", e.mesh.Address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			_, err = c.Read(make([]byte, 1))
			return c, err == nil
		}
		for range 3 {
			_, ok := opened()
			Expect(ok).To(BeTrue())
		}
		for range 5 {
			_, ok := opened()
			Expect(ok).To(BeFalse())
		}
		// Connections on which no Hello arrives end after wire.HandshakeTimeout.
		Eventually(func() bool {
			c, ok := opened()
			_ = c.Close()
			return ok
		}, 6*time.Second, 200*time.Millisecond).Should(BeTrue())
	})
})
