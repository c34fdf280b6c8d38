package e2e_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/e2e"
	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/procfleet"
)

var _ = Describe("Misbehaving callers and peers", Ordered, func() {
	var fleet *e2e.Fleet

	BeforeAll(func() {
		var err error
		fleet, err = e2e.Start(e2e.Options{Entries: 1, Engines: 1, Adapters: 2, Slots: 2, StepBase: 5 * time.Millisecond})
		DeferCleanup(fleet.Close)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int {
			resp, _ := postCompletion(fleet.EntryURL(0), fixture.AdapterName(0), "warm up", 1, false)
			return resp.StatusCode
		}, 10*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
	})

	runningCount := func() int { return len(fleet.Engines[0].State().Running) }

	// The request of a caller that disconnects must not run on to the end of a
	// long answer, which would also keep its adapter in use.
	DescribeTable("the request of a caller that disconnects is cancelled at the engine", func(stream string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		body := `{"model":"plot-0","prompt":"p","max_tokens":100000,"stream":` + stream + `}`
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, fleet.EntryURL(0)+"/v1/completions", strings.NewReader(body))
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
		Eventually(runningCount, 3*time.Second, 10*time.Millisecond).Should(Equal(1))
		cancel()
		<-done
		Eventually(runningCount, 3*time.Second, 10*time.Millisecond).Should(BeZero())
	}, Entry("streamed", "true"), Entry("whole", "false"))

	// If the connection to an engine breaks while the engine still runs the
	// request, the stream is resumed from the next token.
	It("a stream whose engine connection breaks is resumed", func() {
		Expect(procfleet.Post(fleet.EngineURL(0) + "/control?cut_next=3")).To(Succeed())
		resp, text := postCompletion(fleet.EntryURL(0), fixture.AdapterName(0), "resume", 30, true)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(strings.Count(text, "data: ")).To(Equal(31))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(text).NotTo(ContainSubstring("event: error"))
	})

	// Without a header timeout, such a caller would occupy a connection forever. The
	// limit of 7 s is above front.HeaderReadTimeout, which is 5 s.
	It("the connection of a caller that does not complete its headers is closed", func() {
		conn, err := net.Dial("tcp", fleet.Entries[0].Address())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"))
		_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
		started := time.Now()
		_, _ = bufio.NewReader(conn).ReadByte()
		Expect(time.Since(started)).To(BeNumerically("<", 7*time.Second))
	})

	// Bytes that are not a valid frame must end only the session that they
	// arrive on.
	DescribeTable("a peer that does not follow the protocol does not disturb the target process", func(data string) {
		conn, err := net.Dial("tcp", fleet.Targets[0].Address())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = conn.Write([]byte(data))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = io.Copy(io.Discard, conn)
		Expect(err).NotTo(HaveOccurred(), "the connection was not closed")
		resp, text := postCompletion(fleet.EntryURL(0), fixture.AdapterName(0), "after", 1, false)
		Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
	},
		Entry("HTTP", "GET / HTTP/1.1\r\n\r\n"),
		Entry("a frame length above the limit", "\xff\xff\xff\xff\x01"),
		Entry("an empty frame", "\x00\x00\x00\x00\x00"),
		Entry("a hello that does not decode", "\x00\x00\x00\x03\x01\xc1\xc1"),
		Entry("a request before the hello", "\x00\x00\x00\x02\x02\x80"),
	)
})
