package standin

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

var _ = Describe("Relay", func() {
	// If the relay lost or reordered delayed data, fault runs would report that
	// as a fault of the system.
	It("delays data without loss and in order", func() {
		upstream, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(upstream.Close)
		received := make(chan string, 1)
		go func() {
			c, err := upstream.Accept()
			if err != nil {
				return
			}
			data, _ := io.ReadAll(c)
			received <- string(data)
		}()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		r := NewRelay(l, upstream.Addr().String())
		DeferCleanup(r.Close)
		const delay = 100 * time.Millisecond
		r.SetDelay(delay)
		started := time.Now()
		c, err := net.Dial("tcp", r.Address())
		Expect(err).NotTo(HaveOccurred())
		for _, part := range []string{"first ", "second ", "third"} {
			_, err = io.WriteString(c, part)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.Close()).To(Succeed())
		Eventually(received, 5*time.Second).Should(Receive(Equal("first second third")))
		Expect(time.Since(started)).To(BeNumerically(">=", delay))
	})
})
