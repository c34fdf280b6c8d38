package relay

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
)

var _ = Describe("A large event of a stream", func() {
	open := func(p *BufferPool, body string) *eventReader {
		return newEventReader(&http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(body))}, "", p, "t-1")
	}
	large := "id: 1\ndata: " + strings.Repeat("x", 2*uncountedBytes) + "\n\n"

	// Guards against events that are within their bound one by one and exceed the memory
	// together.
	It("takes room of the answers until the next one is read", func() {
		p := NewBufferPool(3*partBytes, telemetry.NewMetrics())
		first := open(p, "id: 1\ndata: "+strings.Repeat("x", uncountedBytes/2)+"\n\nid: 2\n\n")
		_, err := first.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(p.free).To(BeEquivalentTo(2 * partBytes))
		second := open(p, large)
		_, err = second.next()
		Expect(err).To(MatchError(upstream.ErrOverBounds))
		second.close()
		_, err = first.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(p.free).To(BeEquivalentTo(3 * partBytes))
	})

	It("gives back its room with the end of its stream", func() {
		p := NewBufferPool(4*partBytes, telemetry.NewMetrics())
		stream := open(p, large)
		_, err := stream.next()
		Expect(err).NotTo(HaveOccurred())
		stream.close()
		stream.close()
		Expect(p.free).To(BeEquivalentTo(4 * partBytes))
		Expect(p.reads).To(BeEmpty())
	})
})
