package driver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/platform"
	"agatelanding.example/agatelanding/internal/standin"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "driver")
}

var _ = Describe("Runs of an earlier target process", func() {
	// Without the cancellation the engine goes on with runs whose process is
	// dead, and refuses to unload their adapters.
	It("are cancelled, and only those", func() {
		cfg := standin.DefaultEngineConfig()
		cfg.StepBase = 50 * time.Millisecond
		engine := standin.NewEngine(cfg)
		server := httptest.NewServer(engine.Handler())
		DeferCleanup(func() {
			engine.Restart()
			engine.Close()
			server.Close()
		})
		attempt := wire.AttemptID{Attempt: 1}
		own, earlier := &Driver{Incarnation: 16, Engine: platform.NewEngine(server.URL)}, &Driver{Incarnation: 15}
		ids := []string{own.runID(attempt), earlier.runID(attempt), "of-an-operator"}
		for _, id := range ids {
			go func() {
				body := strings.NewReader(`{"model":"base","prompt":"p","max_tokens":1000}`)
				req, _ := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", body)
				req.Header.Set("X-Request-Id", id)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
		Eventually(func() []string { return engine.State().Running }).Should(ConsistOf(ids))
		own.cancelOrphans(context.Background(), engine.State().Running)
		Expect(engine.State().Running).To(ConsistOf(ids[0], ids[2]))
	})
})
