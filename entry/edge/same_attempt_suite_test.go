package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An attempt of a client that arrives twice", func() {
	var (
		f    *fleet
		ran  *runCount
		work atomic.Int64
	)
	send := func(ctx context.Context, entry int, id string) response {
		a := f.call(ctx, entry, "POST", "/call/1", map[string]string{"Attempt-Id": id}, "x")
		a.id = id
		return a
	}
	BeforeEach(func() {
		f, ran = newFleet(0, 0), &runCount{}
		work.Store(int64(100 * time.Millisecond))
		var targets []*scriptedTarget
		for range 2 {
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				time.Sleep(time.Duration(work.Load()))
				return answer(nc, requestIDOf(r))
			}})
		}
		f.startScripted(targets...)
		f.configureOnce(2)
		f.start()
		f.start()
	})
	// Guards against a second run of a request whose client, or its transport, sends the attempt
	// again.
	DescribeTable("runs once", func(second int, after time.Duration, leave bool) {
		for i := range 3 {
			id := fmt.Sprintf("twice-%d-%d", f.subnet, i)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				send(ctx, 0, id)
			}()
			time.Sleep(after)
			if leave {
				cancel()
			}
			send(context.Background(), second, id)
			wg.Wait()
			cancel()
			Expect(ran.of(id)).To(Equal(1))
		}
	},
		Entry("at the same entry, at the same time", 0, time.Duration(0), false),
		Entry("at the same entry, while the first one runs", 0, 50*time.Millisecond, false),
		Entry("at the same entry, after the first one has ended", 0, 300*time.Millisecond, false),
		Entry("at the same entry, after the connection of the first one has ended", 0, 50*time.Millisecond, true),
		Entry("at another entry, at the same time", 1, time.Duration(0), false),
		Entry("at another entry, while the first one runs", 1, 50*time.Millisecond, false),
		Entry("at another entry, after the first one has ended", 1, 300*time.Millisecond, false),
		Entry("at another entry, after the connection of the first one has ended", 1, 50*time.Millisecond, true),
	)
	// Guards against a second run of a request whose first entry has ended.
	It("runs once if the first entry ends meanwhile", func() {
		id := fmt.Sprintf("twice-%d", f.subnet)
		go func() {
			defer GinkgoRecover()
			send(context.Background(), 0, id)
		}()
		Eventually(func() int { return ran.of(id) }).Within(2 * time.Second).Should(Equal(1))
		f.entries[0].Close()
		send(context.Background(), 1, id)
		Expect(ran.of(id)).To(Equal(1))
	})
})
