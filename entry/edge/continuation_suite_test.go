package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventStream begins the body of a stream in chunks.
const eventStream = "Content-Type: text/event-stream\r\n" + chunked

// numbered returns events with the given IDs.
func numbered(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

var _ = Describe("A stream whose target stops after two events", func() {
	const end = "0\r\n\r\n"
	// follow returns what the caller gets if the next target answers with what write writes. The
	// first target falls silent if silent is true, otherwise it closes the connection.
	follow := func(silent bool, write func(nc net.Conn, id string)) response {
		f := newFleet(0, 0)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("events", "/events/", "stream", "raw", map[string]any{"timeout_ms": 2500}))
		var requests atomic.Int64
		for i := range 3 {
			address, _, _ := serveRaw(func(nc net.Conn, id string) {
				if requests.Add(1) > 1 {
					write(nc, id)
					return
				}
				_, _ = io.WriteString(nc, head(200, id, eventStream)+chunk(numbered(1, 2)))
				if silent {
					_, _ = nc.Read(make([]byte, 1))
				}
			})
			f.store.RegisterAddress(fmt.Sprintf("raw-%d", i), address, 8)
		}
		f.start()
		a := f.call(context.Background(), 0, "GET", "/events/", map[string]string{"Deadline-Ms": "2500"}, "")
		Expect(requests.Load()).To(BeNumerically(">", 1))
		return a
	}
	answer := func(text string) func(net.Conn, string) {
		return func(nc net.Conn, id string) { _, _ = io.WriteString(nc, strings.ReplaceAll(text, "ID", id)) }
	}
	signed := func(status int, rest string) func(net.Conn, string) {
		return func(nc net.Conn, id string) { _, _ = io.WriteString(nc, head(status, id, rest)) }
	}
	text := "upstream failed\r\n\r\n"
	plain := func(body string) string {
		return fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	events := func(body string) string { return eventStream + chunk(body) + end }
	unsigned := "HTTP/1.1 500 X\r\nAttempt-Id: ID\r\n" + plain(text)
	entries := []TableEntry{
		Entry("answers with a signed 500", signed(500, plain(text))),
		Entry("answers with an unsigned 500", answer(unsigned)),
		Entry("answers with a signed 404", signed(404, plain(text))),
		Entry("answers with a redirect", signed(302, "Location: /x\r\nContent-Length: 0\r\n\r\n")),
		Entry("answers 200 with a text", signed(200, plain(text))),
		Entry("answers 200 with a text and no length", signed(200, "Content-Type: text/plain\r\n\r\n"+text)),
		Entry("answers 200 with a text as events", signed(200, events(text))),
		Entry("answers 200 with events of another content type", signed(200, plain(numbered(3, 4)))),
		Entry("answers 200 with an empty body", signed(200, "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")),
		Entry("answers 200 with an empty body in chunks", signed(200, eventStream+end)),
		Entry("answers 200 with an empty body and no length", signed(200, "Content-Type: text/event-stream\r\n\r\n")),
		Entry("answers 204", signed(204, "Content-Type: text/event-stream\r\n\r\n")),
		Entry("answers 206", signed(206, events(numbered(3, 4)))),
		Entry("sends events without an ID", signed(200, events("data: x\n\ndata: y\n\n"))),
		Entry("sends the events from the start", signed(200, events(numbered(1, 2, 3, 4)))),
		Entry("sends events below the last one only", signed(200, events(numbered(1)))),
		Entry("sends a head in place of an event", signed(200, events("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\n\r\nbad"))),
	}
	for _, silent := range []bool{false, true} {
		when := "and closes"
		if silent {
			when = "and falls silent"
		}
		// Guards against the text of an error in the middle of a stream, and against a broken
		// stream that seems complete.
		DescribeTable(when+" is broken off if the next one", func(write func(net.Conn, string)) {
			a := follow(silent, write)
			Expect(a.body).To(Equal(numbered(1, 2)))
			Expect(a.err).To(HaveOccurred())
		}, entries)

		It(when+" goes on with the events above the last one", func() {
			a := follow(silent, signed(200, events(": comment\n\n"+numbered(3, 4))))
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(numbered(1, 2, 3, 4)))
		})

		It(when+" gets the last event once if the next one repeats it", func() {
			a := follow(silent, signed(200, events(numbered(2, 3))))
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(numbered(1, 2, 3)))
		})
	}
})
