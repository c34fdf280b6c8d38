package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/platform/standin"
)

var _ = Describe("A change of the configuration", func() {
	// Guards against a request on a new route that is refused because the choice of
	// targets does not know its pool yet.
	It("serves a new route to a new pool from the first request that finds the route", func() {
		f := newFleet(0, 1)
		f.start()
		var services []map[string]any
		var routes []map[string]any
		for n := range 40 {
			name := fmt.Sprintf("pool%d", n)
			r := standin.NewReplica(name, "", 0)
			f.store.Put("servers/"+r.ID, r.Describe(name, f.serve("127.0.0.1", r), "z1", "ready"))
			services = append(services, map[string]any{"name": name})
			routes = append(routes, route(name, "/"+name+"/", "idempotent", name, nil))
			f.configure(2+n, map[string]any{"services": services}, routes...)
			var callers sync.WaitGroup
			for range 8 {
				callers.Go(func() {
					defer GinkgoRecover()
					// While the store is slow to answer, an unknown route gets 503 instead of 404.
					unknown := func(a response) bool {
						return a.status == http.StatusNotFound || a.status == http.StatusServiceUnavailable && strings.Contains(a.body, result.NoConfiguration.String())
					}
					a := response{status: http.StatusNotFound}
					for began := time.Now(); unknown(a) && time.Since(began) < time.Second; {
						a = f.call(context.Background(), 0, "GET", "/"+name+"/", nil, "")
					}
					Expect(a.status).To(Equal(http.StatusOK), name+": "+a.body)
				})
			}
			callers.Wait()
		}
	})
})
