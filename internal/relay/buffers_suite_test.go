package relay

import (
	"io"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
)

var _ = Describe("The pool of answers", func() {
	const answer = uncountedBytes + 1
	read := func(p *BufferPool) (*buffers, error) {
		b := &buffers{pool: p}
		_, err := b.read(strings.NewReader(strings.Repeat("x", answer)), answer, "t-1", func() {})
		return b, err
	}

	// Guards against answers that are lost because callers that do not read hold the pool.
	It("disconnects the slowest caller when others wait for its room", func() {
		p := NewBufferPool(2*partBytes, telemetry.NewMetrics())
		slow, err := read(p)
		Expect(err).NotTo(HaveOccurred())
		var ended, other atomic.Bool
		w := slow.startWrite(func() { ended.Store(true) })
		quick, err := read(p)
		Expect(err).NotTo(HaveOccurred())
		w.since = w.since.Add(-slowPartTime)
		quickWrite := quick.startWrite(func() { other.Store(true) })
		go func() {
			for !ended.Load() {
				time.Sleep(time.Millisecond)
			}
			w.end()
			slow.release()
		}()
		_, err = read(p)
		Expect(err).NotTo(HaveOccurred())
		Expect(ended.Load()).To(BeTrue())
		Expect(w.next(func() { Fail("a caller that is disconnected gets a new deadline") })).To(BeFalse())
		Expect(other.Load()).To(BeFalse())
		quickWrite.end()
	})

	// Guards against responses that all wait for the room of each other.
	It("does not wait for responses that are not being sent", func() {
		p := NewBufferPool(partBytes, telemetry.NewMetrics())
		_, err := read(p)
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		_, err = read(p)
		Expect(err).To(MatchError(upstream.ErrOverBounds))
		Expect(time.Since(began)).To(BeNumerically("<", maxPoolWait))
	})

	// unfinished starts to read a response of a target that stops after some bytes. The
	// channel gets the error once it was ended.
	unfinished := func(p *BufferPool, target string, bytes int) <-chan error {
		body, source := io.Pipe()
		failed := make(chan error, 1)
		go func() {
			b := &buffers{pool: p}
			_, err := b.read(body, -1, target, func() { _ = source.CloseWithError(io.ErrUnexpectedEOF) })
			failed <- err
		}()
		_, err := source.Write(make([]byte, bytes))
		Expect(err).NotTo(HaveOccurred())
		return failed
	}

	// Guards against a faulty target whose unfinished responses keep those of other targets
	// from being read.
	It("ends the largest unfinished response of the target that holds most", func() {
		p := NewBufferPool(5*partBytes, telemetry.NewMetrics())
		small := unfinished(p, "faulty", uncountedBytes+2)
		large := unfinished(p, "faulty", uncountedBytes+partBytes+3)
		sound := unfinished(p, "sound", uncountedBytes+2)
		Eventually(func() int64 { p.mu.Lock(); defer p.mu.Unlock(); return p.free }).Should(Equal(int64(partBytes)))
		for range 2 {
			_, err := read(p)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(large).To(Receive(MatchError(upstream.ErrOverBounds)))
		Expect(small).NotTo(Receive())
		Expect(sound).NotTo(Receive())
	})

	// Guards against responses of one target that end each other as each asks for a part.
	It("refuses a part to the largest response itself", func() {
		p := NewBufferPool(2*partBytes, telemetry.NewMetrics())
		other := unfinished(p, "t-1", uncountedBytes+2)
		b := &buffers{pool: p}
		_, err := b.read(strings.NewReader(strings.Repeat("x", 4*partBytes)), -1, "t-1", func() {})
		Expect(err).To(MatchError(upstream.ErrOverBounds))
		Expect(b.taken).To(BeZero())
		Expect(other).NotTo(Receive())
	})
})
