package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/upstream"
)

// named returns a request whose refusals are told by the IDs that they name.
func named(id string) *upstream.Request {
	r := request(id)
	r.ID, r.NamedIDs = id, func(resp *http.Response) []string { return resp.Header.Values("Id") }
	r.MatchesAnswer = func(resp *http.Response) upstream.Match {
		if len(resp.Header.Values("Id")) > 1 {
			return upstream.OtherRequest
		}
		return matches(id)(resp)
	}
	return r
}

// isFirst is the header of a request that the target refuses, because it is the first send of it.
const isFirst = "First"

// status sends a request and returns the status of its response, 0 for none.
func status(ctx context.Context, p *upstream.Pool, t *target, id string) int {
	return statusOf(ctx, p, t, named(id))
}

// giveUpFirst sends the first send of a request and returns the status of its response, 0 for none.
func giveUpFirst(ctx context.Context, p *upstream.Pool, t *target, id string) int {
	r := named(id)
	r.Header.Set(isFirst, "1")
	return statusOf(ctx, p, t, r)
}

func statusOf(ctx context.Context, p *upstream.Pool, t *target, r *upstream.Request) int {
	resp, failure := p.Do(ctx, t.address(), r)
	if failure != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func refuse(nc net.Conn, id string) {
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 X\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
}

var _ = Describe("A connection on which a refusal may come that was not read", func() {
	var p *upstream.Pool
	BeforeEach(func() { p = upstream.NewPool(&counter{}) })

	// Guards against the refusal of a send that was given up, taken for that of a later send.
	DescribeTable("is not used again after its send was given up", func(giveUp func(context.Context) (context.Context, context.CancelFunc), begun string) {
		var ran atomic.Int64
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			if r.Header.Get(isFirst) != "" {
				_, _ = io.WriteString(nc, begun)
				time.Sleep(20 * time.Millisecond)
				refuse(nc, r.Header.Get("Id"))
				return
			}
			ran.Add(1)
			time.Sleep(30 * time.Millisecond)
			reply(nc, r.Header.Get("Id"), "ok")
		}))
		for i := range 20 {
			id := fmt.Sprint(i)
			ctx, cancel := giveUp(context.Background())
			Expect(giveUpFirst(ctx, p, t, id)).To(BeZero())
			Expect(status(context.Background(), p, t, id)).To(Equal(200))
			cancel()
		}
		Expect(ran.Load()).To(BeEquivalentTo(20))
	},
		Entry("at its deadline", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 10*time.Millisecond)
		}, ""),
		Entry("by its caller", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(10*time.Millisecond, cancel)
			return ctx, cancel
		}, ""),
		Entry("within the head of the refusal", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 10*time.Millisecond)
		}, "HTTP/1.1 503 X\r\nX-Y: "),
		Entry("after an interim response", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 10*time.Millisecond)
		}, "HTTP/1.1 102 X\r\n\r\n"),
	)

	// Guards against the same for a send that is given up in the moment in which its refusal comes.
	It("is not used again if its send was given up as the refusal came", func() {
		var ran, believed atomic.Int64
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			id := r.Header.Get("Id")
			if r.Header.Get(isFirst) != "" {
				time.Sleep(2 * time.Millisecond)
				refuse(nc, id)
				refuse(nc, id)
				return
			}
			ran.Add(1)
			reply(nc, id, "ok")
		}))
		for i := range 200 {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
			giveUpFirst(ctx, p, t, fmt.Sprint(i))
			if status(context.Background(), p, t, fmt.Sprint(i)) == 503 {
				believed.Add(1)
			}
			cancel()
		}
		Expect(ran.Load()).To(BeEquivalentTo(200))
		Expect(believed.Load()).To(BeZero())
	})

	// Guards against a refusal that is read before its request is sent there.
	It("is not used while bytes lie on it that were not read", func() {
		believed, ran := 0, atomic.Int64{}
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			id := r.Header.Get("Id")
			if id[0] == 'b' {
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 503 X\r\nId: a%s\r\nContent-Length: 0\r\n\r\n", id, id[1:])
				return
			}
			ran.Add(1)
			reply(nc, id, "ok")
		}))
		for i := range 300 {
			Expect(status(context.Background(), p, t, fmt.Sprint("b", i))).To(Equal(200))
			if status(context.Background(), p, t, fmt.Sprint("a", i)) == 503 {
				believed++
			}
		}
		Expect(believed).To(BeZero(), "of %d runs", ran.Load())
	})
})

var _ = Describe("A refusal that names another request than the pending one", func() {
	// Guards against the copy of a refusal of another connection that counts as that of its own
	// request later on.
	DescribeTable("keeps its request from the connection", func(copyOf string) {
		p := upstream.NewPool(&counter{})
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			id := r.Header.Get("Id")
			if id == "b" {
				_, _ = io.WriteString(nc, copyOf)
			}
			reply(nc, id, "ok")
		}))
		Expect(status(context.Background(), p, t, "b")).To(Equal(200))
		Expect(t.conns.Load()).To(BeEquivalentTo(1))
		Expect(status(context.Background(), p, t, "a")).To(Equal(200))
		Expect(t.conns.Load()).To(BeEquivalentTo(2))
	},
		Entry("alone", "HTTP/1.1 503 X\r\nId: a\r\nContent-Length: 0\r\n\r\n"),
		Entry("beside others", "HTTP/1.1 503 X\r\nId: c\r\nId: a\r\nContent-Length: 0\r\n\r\n"),
		Entry("beside the pending one", "HTTP/1.1 429 X\r\nId: b\r\nId: a\r\nContent-Length: 0\r\n\r\n"),
	)
})
