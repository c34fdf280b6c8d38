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

	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/standin"
	"agatelanding.example/agatelanding/internal/wire"
)

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "driver")
}

var _ = Describe("Orders", func() {
	// Guards against a result that arrives when the slots no longer expect it. It
	// would be taken for that of a newer order for the same adapter.
	It("end before the slots stop expecting their result", func() {
		Expect(max(loadTimeout, orderTimeout)).To(BeNumerically("<", slots.OrderResultTimeout))
	})
})

var _ = Describe("A restarted engine", func() {
	// An order or a run that was sent before the restart and arrives after it
	// would fill a slot or run a request that the target process does not
	// track.
	It("refuses orders and runs that were sent before the restart", func() {
		engine := standin.NewEngine(standin.DefaultEngineConfig())
		server := httptest.NewServer(engine.Handler())
		DeferCleanup(func() {
			engine.Close()
			server.Close()
		})
		client, ctx := clients.NewEngine(server.URL), context.Background()
		key := slots.Key{Adapter: "a", Version: "1"}
		old := authority.FencingStamp{Fence: 1, Incarnation: engine.State().Incarnation}
		Expect(client.Load(ctx, key, old)).To(Succeed())
		engine.Restart()
		Expect(result.CodeOf(client.Load(ctx, key, old))).To(Equal(result.AuthorityLost))
		Expect(result.CodeOf(client.Unload(ctx, key, old))).To(Equal(result.AuthorityLost))
		_, err := client.Run(ctx, old, "r", "/v1/completions", []byte(`{"model":"base","prompt":"p"}`))
		Expect(result.CodeOf(err)).To(Equal(result.EngineUnavailable))
		Expect([]any{engine.State().Resident, engine.State().Running}).To(Equal([]any{[]string{}, []string{}}))
	})
})

var _ = Describe("Runs of an earlier target process", func() {
	// Without the cancellation the engine goes on with runs whose target
	// process has ended, and refuses to unload their adapters.
	It("are cancelled, and those of this process only after an engine restart", func() {
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
		own, earlier := &Driver{Incarnation: 16, Engine: clients.NewEngine(server.URL)}, &Driver{Incarnation: 15}
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
		Expect(own.cancelUnwantedRuns(context.Background(), engine.State().Running, false)).To(Succeed())
		Expect(engine.State().Running).To(ConsistOf(ids[0], ids[2]))
		// After a restart of the engine the runs of this process are cancelled
		// too.
		Expect(own.cancelUnwantedRuns(context.Background(), engine.State().Running, true)).To(Succeed())
		Expect(engine.State().Running).To(ConsistOf(ids[2]))
	})
})
