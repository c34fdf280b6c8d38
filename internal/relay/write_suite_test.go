package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// deadlineRecorder is a response writer that records the last write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

var _ = Describe("A stream", func() {
	// Guards against a write deadline of the last event that has passed when the end is
	// written, so that a whole stream seems cut off.
	It("has time to write its end long after its last event", func() {
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		x := &callerRequest{
			h: &Handler{Dialect: headers{}, Metrics: telemetry.NewMetrics(), Log: telemetry.For("relay")}, w: w,
			r: httptest.NewRequest(http.MethodPost, "/", strings.NewReader("")), route: &catalog.Route{Kind: catalog.Stream},
		}
		resp := &http.Response{StatusCode: 200, Header: http.Header{}}
		Expect(x.writeEvent(resp, []byte("id: 1\ndata: x\n\n"), nil)).To(BeTrue())
		w.deadline = time.Now().Add(-time.Second)
		x.endStream(resp, nil)
		Expect(w.deadline).To(BeTemporally(">", time.Now()))
	})
})

// headers passes headers on unchanged.
type headers struct{ HeaderCodec }

func (headers) CallerHeader(h http.Header) http.Header { return h }
