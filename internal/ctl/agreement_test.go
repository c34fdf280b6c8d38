package ctl_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/ctl"
	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// discardRecorder discards the metrics of the decision code.
type discardRecorder struct{}

func (discardRecorder) Refused(result.Code)         {}
func (discardRecorder) Retried(result.Code)         {}
func (discardRecorder) NotRetried(retry.StopReason) {}
func (discardRecorder) Count(string)                {}

// reserveTarget returns the target to which an entry without load sends the first
// Reserve message for a call.
func reserveTarget(snap *tables.Snapshot, call *dispatch.Call) string {
	now := time.Unix(1_700_000_000, 0)
	d := dispatch.New(dispatch.Config{Entry: "e", Seed: 1}, discardRecorder{})
	d.SetSnapshot(now, snap)
	for _, pool := range snap.Pools() {
		for _, t := range pool.Targets {
			d.SessionUp(now, t.Name, &wire.Hello{Incarnation: 1})
		}
	}
	call.ArrivedAt = now
	for _, action := range d.Submit(now, call) {
		if send, ok := action.(dispatch.Send); ok {
			if _, ok := send.Message.(*wire.Reserve); ok {
				return send.Target
			}
		}
	}
	return ""
}

// The explain command must report the targets that an entry would choose for the
// same request.
var _ = DescribeTable("explain agrees with the entry's decision code", func(kind, value, key string) {
	dir := GinkgoT().TempDir()
	Expect(run(dir, splitArgs("generate plateria DIR --adapters 40")...).Exit).To(Equal(ctl.ExitOK))
	source, faults := tables.ReadSource(filepath.Join(dir, ctl.RoutesFile), filepath.Join(dir, ctl.PoolsFile))
	Expect(faults).To(BeEmpty())
	snap, faults := source.Build(1)
	Expect(faults).To(BeEmpty())
	for i := range 40 {
		name, keyOfCall := value, key
		if kind == "--model" {
			name = fmt.Sprintf(value, i)
		}
		if key != "" {
			keyOfCall = fmt.Sprintf("%s-%d", key, i)
		}
		args := []string{"explain", dir, kind, name, "--ranks", "2", "--json"}
		if keyOfCall != "" {
			args = append(args, "--key", keyOfCall)
		}
		got := run(dir, args...)
		var e ctl.Explanation
		Expect(json.Unmarshal([]byte(got.Out), &e)).To(Succeed(), got.Errors)

		route, ok := snap.RoutePath(name)
		if kind == "--model" {
			route, ok = snap.RouteModel(name)
		}
		Expect(ok).To(BeTrue())
		pool, _ := snap.Pool(route.Pool)
		class, _ := pool.ClassByName(route.Class)
		chosen := reserveTarget(snap, &dispatch.Call{Number: 1, Revision: 1, Route: route, Pool: pool,
			TargetListDigest: snap.TargetListDigest(pool.Name), Class: class, Method: "POST", Path: name, IdempotencyKey: keyOfCall})
		var names []string
		for _, t := range e.Targets {
			names = append(names, t.Name)
		}
		// An entry may choose either of the first two ranks of an adapter.
		Expect(names).To(ContainElement(chosen))
		Expect(route.Repeatable || len(names) == 1).To(BeTrue())
	}
},
	Entry("adapter", "--model", "client-%04d", ""),
	Entry("long work", "--model", "client-%04d/summary", ""),
	Entry("idempotent call", "--path", "/orders/finishes", ""),
	Entry("call that is not idempotent", "--path", "/orders/payments", "key"),
)
