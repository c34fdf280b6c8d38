package clients_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/knownred"
	"agatelanding.example/agatelanding/internal/result"
)

func TestClients(t *testing.T) {
	RegisterFailHandler(Fail)
	knownred.RunSpecs(t, "clients")
}

var _ = Describe("A service that answers a call with a redirection", func() {
	// Guards against a call that ran and counts as not run, because what was sent after it failed.
	It("does not make the call count as not run", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		unreachable := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		var ran atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			http.Redirect(w, r, "http://"+unreachable+"/done", http.StatusSeeOther)
		}))
		DeferCleanup(server.Close)
		resp, err := clients.NewService(server.URL).Call(context.Background(), http.MethodPost, "/pay", "key-1", []byte("x"))
		Expect(ran.Load()).To(BeEquivalentTo(1))
		if err != nil {
			Expect(result.CodeOf(err).Info().Execution).NotTo(Equal(result.NotRun), "%v", err)
			return
		}
		Expect(resp.StatusCode).To(Equal(http.StatusSeeOther))
		Expect(resp.Body.Close()).To(Succeed())
	})
})
