package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/wire"
)

// dialPeer connects to entry i as another entry and returns the connection and the
// verdicts that arrive on it.
func (f *fleet) dialPeer(i int) (*wire.Conn, chan wire.PartVerdict) {
	nc, err := net.Dial("tcp", f.settings[i].PeerListen)
	Expect(err).NotTo(HaveOccurred())
	c, verdicts := wire.NewConn(nc), make(chan wire.PartVerdict, 16)
	DeferCleanup(c.Close)
	_, err = c.Handshake(wire.Hello{Process: "peer", Role: wire.RoleEntry})
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			message, err := c.Read(0)
			if err != nil {
				return
			}
			if x, ok := message.(*wire.Items); ok {
				for _, v := range x.Verdicts {
					verdicts <- v
				}
			}
		}
	}()
	return c, verdicts
}

var _ = Describe("Crashes that other entries have seen", func() {
	It("quarantine a part, which the status page and an entry that joins later show", func() {
		f := newFleet(0, 1)
		f.start()
		peer, verdicts := f.dialPeer(0)
		for i := range 3 {
			age := int64(3000 - 1000*i)
			suspect := wire.Suspect{Parts: []string{"5c1e", fmt.Sprint("own", i)}, AgeMS: age + 100}
			Expect(peer.Write(&wire.Items{Crashes: []wire.CrashRecord{{Target: fmt.Sprint("t", i), AgeMS: age, Suspects: []wire.Suspect{suspect}}}})).To(Succeed())
		}
		concluded := And(HaveField("Part", "5c1e"), HaveField("Crashes", 3), HaveField("Entry", "entry-0"))
		Eventually(verdicts).Within(2 * time.Second).Should(Receive(concluded))
		resp, err := http.Get("http://" + f.settings[0].MetricsAddress() + "/status")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		page, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(MatchRegexp(`"quarantined_parts":\[{"part":"5c1e","crashes":3,"since_ms":\d+,"entry":"entry-0","trials":0,"refused":0}\],"quarantined_requests":null,"crash_records":3`))
		_, late := f.dialPeer(0)
		Eventually(late).Within(time.Second).Should(Receive(concluded))
	})
})
