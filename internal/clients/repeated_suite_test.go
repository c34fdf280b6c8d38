package clients_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/slots"
)

// serveRepeated serves a handler on connections that get each answer once more before the next
// one. It returns the base URL.
func serveRepeated(handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var last []byte
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = c.Write(last)
					w := httptest.NewRecorder()
					handler(w, req)
					resp := w.Result()
					resp.ContentLength = int64(w.Body.Len())
					var b bytes.Buffer
					_ = resp.Write(&b)
					last = b.Bytes()
					if _, err := c.Write(last); err != nil || req.Close {
						return
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

var _ = Describe("A server that repeats its answers", func() {
	// Guards against the answer to another call that is passed on to the caller.
	It("does not make a service's call end with the answer to another one", func() {
		service := clients.NewService(serveRepeated(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
		wrong := 0
		for n := range 20 {
			path := fmt.Sprintf("/call/%d", n)
			resp, err := service.Call(context.Background(), http.MethodPost, path, "", nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			if string(body) != path {
				wrong++
			}
		}
		Expect(wrong).To(BeZero())
	})

	// Guards against an order that counts as carried out though the engine has refused it.
	It("does not make an engine's order count as carried out", func() {
		var fenced atomic.Bool
		engine := clients.NewEngine(serveRepeated(func(w http.ResponseWriter, _ *http.Request) {
			if fenced.Load() {
				w.WriteHeader(http.StatusConflict)
			}
		}))
		load := func(n int) error {
			return engine.Load(context.Background(), slots.Key{Adapter: fmt.Sprint("a", n), Version: "1"}, authority.FencingStamp{})
		}
		Expect(load(0)).To(Succeed())
		fenced.Store(true)
		Expect(load(1)).NotTo(Succeed())
	})

	// Guards against a configuration from before that counts as the present one.
	It("does not make an earlier value count as the newest", func() {
		var index atomic.Int64
		config := clients.NewConfigClient(serveRepeated(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Index", fmt.Sprint(index.Load()))
		}))
		earlier := 0
		for n := range 20 {
			index.Store(int64(n))
			v, err := config.Get(context.Background(), "k")
			Expect(err).NotTo(HaveOccurred())
			if v.Index != uint64(n) {
				earlier++
			}
			time.Sleep(time.Millisecond)
		}
		Expect(earlier).To(BeZero())
	})
})
