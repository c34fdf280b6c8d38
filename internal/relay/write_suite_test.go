package relay

import (
	"net/http"
	"net/http/httptest"
	"os"
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

// slowCaller is a response writer whose deadline passes during each write.
type slowCaller struct{ deadlineRecorder }

func (s *slowCaller) Write(part []byte) (int, error) {
	if s.deadline.Before(time.Now()) {
		return 0, os.ErrDeadlineExceeded
	}
	s.deadline = time.Time{}
	return s.ResponseRecorder.Write(part)
}

var _ = Describe("A whole answer", func() {
	// Guards against a write deadline for the whole body, which cuts off a caller that
	// reads a large answer slowly.
	It("has the time of one write for each part", func() {
		w := &slowCaller{deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}}
		x := &callerRequest{
			h: &Handler{Dialect: headers{}, Metrics: telemetry.NewMetrics(), Log: telemetry.For("relay")}, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil),
		}
		x.writeResponse(&wholeResponse{status: 200, body: [][]byte{[]byte("one "), []byte("two "), []byte("three")}})
		Expect(w.Body.String()).To(Equal("one two three"))
	})
})

// headers passes headers on unchanged.
type headers struct{ HeaderCodec }

func (headers) CallerHeader(h http.Header) http.Header { return h }
