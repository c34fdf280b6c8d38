package relay

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/telemetry"
)

var _ = Describe("Failure answers that are held while other targets are tried", func() {
	const answer = uncountedBytes + 1
	read := func(b *buffers) (*wholeResponse, error) {
		body, err := b.read(strings.NewReader(strings.Repeat("x", answer)), answer, "t-1", func() {})
		return &wholeResponse{status: 500, body: body}, err
	}
	hold := func(p *BufferPool) (*buffers, *heldResponse) {
		b := &buffers{pool: p}
		whole, err := read(b)
		Expect(err).NotTo(HaveOccurred())
		return b, b.hold(whole, 0)
	}

	// Guards against large failure answers that keep those of other targets from being read.
	It("give up their room for another answer", func() {
		p := NewBufferPool(2*partBytes, telemetry.NewMetrics())
		b1, first := hold(p)
		b2, second := hold(p)
		_, err := read(&buffers{pool: p})
		Expect(err).NotTo(HaveOccurred())
		claimed := 0
		for b, h := range map[*buffers]*heldResponse{b1: first, b2: second} {
			if h.claim(b) != nil {
				claimed++
			}
		}
		Expect(claimed).To(Equal(1))
	})

	It("take room once, however often a request fails", func() {
		p := NewBufferPool(3*partBytes, telemetry.NewMetrics())
		b, last := hold(p)
		for range 10 {
			whole, err := read(b)
			Expect(err).NotTo(HaveOccurred())
			next := b.hold(whole, 0)
			last.release()
			last = next
		}
		Expect(p.free).To(Equal(int64(2 * partBytes)))
		Expect(last.claim(b)).NotTo(BeNil())
		Expect(p.free).To(Equal(int64(2 * partBytes)))
		b.release()
		last.release()
		Expect(p.free).To(Equal(int64(3 * partBytes)))
	})

	It("give back their room when the request ends", func() {
		p := NewBufferPool(2*partBytes, telemetry.NewMetrics())
		b, h := hold(p)
		h.release()
		b.release()
		Expect(p.free).To(Equal(int64(2 * partBytes)))
		Expect(h.claim(b)).To(BeNil())
		b.release()
		Expect(p.free).To(Equal(int64(2 * partBytes)))
	})
})
