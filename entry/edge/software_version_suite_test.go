package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// versionFleet is a fleet whose engines have software versions.
type versionFleet struct {
	*crashFleet
}

// newVersionFleet starts two entries before engines with the given software versions. Only
// those with the first version are registered.
func newVersionFleet(versions ...any) *versionFleet {
	f := &versionFleet{&crashFleet{fleet: newFleet(0, 0)}}
	for i, v := range versions {
		r := standin.NewReplica(fmt.Sprintf("e-%d", i), "m", 2)
		r.SoftwareVersion, r.Events, r.EventTime = v, 60, 20*time.Millisecond
		s, err := standin.Serve(f.engineIP(i)+":0", r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		f.engines, f.servers = append(f.engines, r), append(f.servers, s)
		f.targetProcesses = append(f.targetProcesses, f.startTargetProcess(i, s.Address))
		if v == versions[0] {
			f.register(i)
		}
	}
	f.start()
	f.start()
	return f
}

func (f *versionFleet) register(i int) {
	f.store.Register(f.engines[i], "llm", f.servers[i].Address, fmt.Sprint("z", i%3), "ready")
}

// registerAll registers the other engines and waits until the entries know them.
func (f *versionFleet) registerAll() {
	for i := range f.engines {
		f.register(i)
	}
	time.Sleep(400 * time.Millisecond)
}

// registerFor registers all engines for a number of intervals of a second each.
func (f *versionFleet) registerFor(intervals int) {
	for range intervals {
		for i := range f.engines {
			f.register(i)
		}
	}
	for i := range f.settings {
		f.settings[i].RegistrationInterval = time.Second
	}
	time.Sleep(400 * time.Millisecond)
}

// restartTargetProcesses replaces the target processes by others that know nothing.
func (f *versionFleet) restartTargetProcesses() {
	for i, a := range f.targetProcesses {
		a.Shutdown(context.Background())
		f.targetProcesses[i] = f.startTargetProcess(i, f.servers[i].Address)
	}
}

// versionsOf returns the software versions of the engines that ran any of the requests.
func (f *versionFleet) versionsOf(ids ...string) map[any]bool {
	versions := make(map[any]bool)
	for _, e := range f.engines {
		for _, id := range ids {
			if len(runsOf(id, []*standin.Replica{e})) > 0 {
				versions[e.SoftwareVersion] = true
			}
		}
	}
	return versions
}

// begunStream is a stream of which a caller has the first events.
type begunStream struct {
	id   string
	body *bufio.Reader
	resp *http.Response
}

// begin begins a stream at entry i and reads its first event.
func (f *versionFleet) begin(i int) *begunStream { return f.beginPrompt(i, "") }

// beginPrompt begins a stream whose prompt ends with a part.
func (f *versionFleet) beginPrompt(i int, part string) *begunStream {
	s := &begunStream{id: fmt.Sprintf("req-%d", lastRequestNumber.Add(1))}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.settings[i].Listen+"/query/x", strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	standin.SetRequest(req.Header, s.id, 6*time.Second)
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Usage", "100,20")
	if part != "" {
		req.Header.Set("Prompt-Prefix", promptOf(part))
	}
	s.resp, err = http.DefaultTransport.RoundTrip(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.resp.StatusCode).To(Equal(http.StatusOK))
	DeferCleanup(s.resp.Body.Close)
	s.body = bufio.NewReader(s.resp.Body)
	line, err := s.body.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	Expect(line).To(Equal("id: 1\n"))
	return s
}

func promptOf(part string) string { return sharedPart + ":90," + part + ":10" }

// takeUp takes a stream up at entry i after its first event.
func (f *versionFleet) takeUp(i int, resumes string) prompted { return f.takeUpPrompt(i, resumes, "") }

// takeUpPrompt takes a stream up whose prompt ends with a part.
func (f *versionFleet) takeUpPrompt(i int, resumes, part string) prompted {
	p := prompted{sent: time.Now()}
	header := map[string]string{"Model": "m", "Token-Usage": "100,20", "Last-Event-Id": "1", "Resumes": resumes}
	if part != "" {
		header["Prompt-Prefix"] = promptOf(part)
	}
	p.response = f.call(context.Background(), i, "POST", "/query/x", header, "prompt")
	p.took = time.Since(p.sent)
	return p
}

var _ = Describe("A stream beside two software versions", func() {
	// Guards against an entry that continues a broken stream at another version.
	It("goes on at the version that began it when its engine crashes, or breaks off", func() {
		f := newVersionFleet("v1", "v2", "v2", "v2")
		s := f.begin(0)
		f.registerAll()
		f.servers[0].Crash()
		for line, err := s.body.ReadString('\n'); err == nil; line, err = s.body.ReadString('\n') {
			_ = line
		}
		Expect(f.versionsOf(s.id)).To(HaveLen(1))
	})

	// Guards against take-ups at another version after the entries that knew it are gone.
	It("is taken up at its version after all entries have restarted at once", func() {
		f := newVersionFleet("v1", "v2", "v2", "v2")
		var begun []string
		for i := range 4 {
			begun = append(begun, f.begin(i%2).id)
		}
		f.registerAll()
		f.restartEntries()
		for i, id := range begun {
			p := f.takeUp(i%2, id)
			Expect(p.status).To(Equal(http.StatusOK), p.body)
			Expect(f.versionsOf(id, p.id)).To(HaveLen(1))
		}
	})

	// Guards against streams that are refused, or go on at another version, once no process
	// knows any more which version began them.
	It("is taken up at its version after all processes have restarted at once", func() {
		f := newVersionFleet("v1", "v1", "v2", "v2")
		f.registerFor(20)
		part := func(i int) string { return fmt.Sprintf("%x", 0xab00+i) }
		var begun []string
		for i := range 12 {
			begun = append(begun, f.beginPrompt(i%2, part(i)).id)
		}
		versions := make(map[any]bool)
		f.restartTargetProcesses()
		f.restartEntries()
		for i, id := range begun {
			p := f.takeUpPrompt(i%2, id, part(i))
			Expect(p.status).To(Equal(http.StatusOK), p.body)
			for v := range f.versionsOf(id, p.id) {
				versions[v] = true
			}
			Expect(f.versionsOf(id, p.id)).To(HaveLen(1))
		}
		Expect(versions).To(HaveLen(2), "both versions began streams")
	})

	// Guards against a stream that is joined with one of another version because the targets
	// were others when it began.
	It("is refused after all processes have restarted if another version may have begun it", func() {
		f := newVersionFleet("v1", "v1", "v2", "v2")
		f.registerFor(20)
		// These come last, so that they look as if they had just been started.
		for i := range f.engines {
			f.engines[i].Restart()
			f.register(i)
		}
		f.restartTargetProcesses()
		f.restartEntries()
		refused := 0
		for i := range 12 {
			p := f.takeUpPrompt(i%2, "nobody-knows", fmt.Sprintf("%x", 0xab00+i))
			if p.status != http.StatusOK {
				Expect(p.status).To(Equal(http.StatusServiceUnavailable), p.body)
				Expect(p.body).To(ContainSubstring("2023"))
				Expect(p.header.Get("Retry-After")).NotTo(BeEmpty())
				refused++
			}
		}
		Expect(refused).To(Equal(12))
	})

	// Guards against a client that is held until its deadline, and against a conclusion from
	// the version that is left.
	It("is refused at once if its version has left, also after all entries have restarted", func() {
		f := newVersionFleet("v1", "v2", "v2")
		known := f.begin(0).id
		f.registerAll()
		f.store.Deregister("e-0")
		time.Sleep(400 * time.Millisecond)
		check := func(resumes string) {
			p := f.takeUp(1, resumes)
			Expect(p.status).To(Equal(http.StatusServiceUnavailable), p.body)
			Expect(runsOf(p.id, f.engines)).To(BeEmpty())
			Expect(p.took).To(BeNumerically("<", 500*time.Millisecond))
		}
		check(known)
		f.restartEntries()
		check(known)
		check("nobody-knows")
	})

	// Guards against a store's history that is asked for as a whole or not at all, and against
	// a conclusion from a short one.
	DescribeTable("beside one version only is taken up, if nobody knows its attempt", func(kept, status int) {
		f := newVersionFleet("v1", "v1")
		for range 60 {
			f.register(0)
			f.register(1)
		}
		f.store.KeepHistory(kept)
		for i := range f.settings {
			f.settings[i].RegistrationInterval = time.Second
		}
		f.restartEntries()
		Expect(f.takeUp(0, "nobody-knows").status).To(Equal(status))
	},
		Entry("after a history of more than it is asked for", 110, http.StatusOK),
		Entry("after a part of what it is asked for", 36, http.StatusOK),
		Entry("not after a history of some seconds", 12, http.StatusServiceUnavailable),
	)

	// Guards against a conclusion from a view that is older than the take-up.
	It("that nobody knows is not taken up by an entry that misses a version, or cannot read the store", func() {
		f := newVersionFleet("v1", "v1", "v2")
		for range 30 {
			f.register(0)
			f.register(1)
		}
		for i := range f.settings {
			f.settings[i].RegistrationInterval = time.Second
		}
		f.restartEntries()
		refused := func() int {
			statuses := callAll(12, func(i int) response {
				return f.takeUpPrompt(i%2, "nobody-knows", fmt.Sprintf("%x", 0xab00+i)).response
			})
			Expect(statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]).To(Equal(12))
			return statuses[http.StatusServiceUnavailable]
		}
		Expect(refused()).To(BeZero())
		f.register(2)
		f.store.Deregister("e-2")
		Expect(refused()).To(BeNumerically("~", 4, 3), "a version came and went that may have been the home of a third")
		f.restartEntries()
		f.fleet.servers[f.storeAddr].Close()
		for i := range 2 {
			p := f.takeUp(i, "nobody-knows")
			Expect(p.status).To(Equal(http.StatusServiceUnavailable), p.body)
			Expect(p.took).To(BeNumerically("<", time.Second))
		}
	})

	// Guards against refusals where there never was a second version.
	It("is taken up beside one version only, also if nobody knows its attempt", func() {
		f := newVersionFleet("v1", "v1")
		id := f.begin(0).id
		f.restartEntries()
		for _, resumes := range []string{id, "nobody-knows", ""} {
			p := f.takeUp(0, resumes)
			Expect(p.status).To(Equal(http.StatusOK), "%q: %s", resumes, p.body)
		}
	})

	// Guards against a version that is taken from the ID of the target.
	It("is refused if its target has another version under the same ID", func() {
		f := newVersionFleet("v1", "v2")
		s := f.begin(0)
		f.registerAll()
		_ = s.resp.Body.Close()
		f.engines[0].SoftwareVersion = "v2"
		f.register(0)
		time.Sleep(400 * time.Millisecond)
		for i := range 2 {
			p := f.takeUp(i, s.id)
			Expect(p.status).To(Equal(http.StatusServiceUnavailable), p.body)
			Expect(p.took).To(BeNumerically("<", 500*time.Millisecond))
			Expect(runsOf(p.id, f.engines)).To(BeEmpty())
		}
	})

	// Guards against a stream that goes elsewhere, or is held, because the targets of its
	// version take few requests.
	DescribeTable("stays at its version while the targets of that version take no requests", func(change func(f *versionFleet)) {
		f := newVersionFleet("v1", "v2", "v2")
		s := f.begin(0)
		f.registerAll()
		change(f)
		// Answers tell the entries of it.
		for range 4 {
			f.query("a1")
		}
		for i := range 4 {
			p := f.takeUp(i%2, s.id)
			Expect(f.versionsOf(s.id, p.id)).To(HaveLen(1), p.body)
			if p.status != http.StatusOK {
				Expect(p.status).To(Equal(http.StatusServiceUnavailable), p.body)
				Expect(p.header.Get("Retry-After")).NotTo(BeEmpty(), p.body)
			}
			Expect(p.took).To(BeNumerically("<", 3*time.Second), p.body)
		}
	},
		Entry("because of a named rate", func(f *versionFleet) { f.engines[0].NameLimit("0.05") }),
		Entry("because of a time that they ask for", func(f *versionFleet) { f.engines[0].AskForTime(5*time.Second, "5") }),
	)
})
