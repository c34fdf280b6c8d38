package edge_test

import (
	"encoding/json"
	"fmt"
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

type quarantineStatus struct {
	Parts []struct {
		Part    string `json:"part"`
		Crashes int    `json:"crashes"`
		Entry   string `json:"entry"`
	} `json:"quarantined_parts"`
	CrashRecords int `json:"crash_records"`
}

func (f *fleet) quarantineStatus(i int) (s quarantineStatus) {
	resp, err := http.Get("http://" + f.settings[i].MetricsAddress() + "/status")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(json.NewDecoder(resp.Body).Decode(&s)).To(Succeed())
	return s
}

var _ = Describe("Crashes that other entries have seen", func() {
	It("quarantine a part, which the status page and an entry that joins later show", func() {
		f := newFleet(0, 1)
		f.start()
		peer, verdicts := f.dialPeer(0)
		for i := range 3 {
			age := int64(3000 - 1000*i)
			Expect(peer.Write(&wire.Items{Crashes: []wire.CrashRecord{{
				Target: fmt.Sprint("t", i), AgeMS: age, Suspects: []wire.Suspect{{Parts: []string{"5c1e", fmt.Sprint("own", i)}, AgeMS: age + 100}},
			}}})).To(Succeed())
		}
		concluded := And(HaveField("Part", "5c1e"), HaveField("Crashes", 3), HaveField("Entry", "entry-0"))
		Eventually(verdicts).Within(2 * time.Second).Should(Receive(concluded))
		Expect(f.quarantineStatus(0)).To(And(HaveField("Parts", ConsistOf(concluded)), HaveField("CrashRecords", 3)))
		_, late := f.dialPeer(0)
		Eventually(late).Within(time.Second).Should(Receive(concluded))
	})
})
