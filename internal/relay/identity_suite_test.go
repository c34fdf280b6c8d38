package relay

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func (headers) RepeatedHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Attempt-Id")
	return out
}

// digestOf returns the digest of a request that change has altered.
func digestOf(change func(x *callerRequest)) string {
	x := &callerRequest{h: &Handler{Dialect: headers{}}, r: httptest.NewRequest(http.MethodPost, "http://h.example/lookup/1?q=1", nil), body: []byte(strings.Repeat("b", 1<<20))}
	x.r.Header.Set("Tenant", "one")
	if change != nil {
		change(x)
	}
	return x.digest()
}

var _ = Describe("The digest of a request", func() {
	// Guards against a sound request that is refused for another one, and against a
	// crashing one that is not recognised.
	DescribeTable("differs if the target gets another request",
		func(same bool, change func(x *callerRequest)) {
			Expect(digestOf(change) == digestOf(nil)).To(Equal(same))
		},
		Entry("another attempt", true, func(x *callerRequest) { x.r.Header.Set("Attempt-Id", "2") }),
		Entry("another letter case of the host", true, func(x *callerRequest) { x.r.Host = "H.Example" }),
		Entry("chunks", true, func(x *callerRequest) { x.r.ContentLength = -1 }),
		Entry("another remote address", true, func(x *callerRequest) { x.r.RemoteAddr = "10.0.0.1:99" }),
		Entry("one byte of a large body", false, func(x *callerRequest) { x.body[1<<19] = 'c' }),
		Entry("another caller", false, func(x *callerRequest) { x.r.Header.Set("Tenant", "two") }),
		Entry("another method", false, func(x *callerRequest) { x.r.Method = http.MethodGet }),
		Entry("another query", false, func(x *callerRequest) { x.r.RequestURI = "/lookup/1?q=2" }),
		Entry("another host", false, func(x *callerRequest) { x.r.Host = "i.example" }),
		Entry("a byte that moved from header to body", false, func(x *callerRequest) {
			x.r.Header.Set("Tenant", "on")
			x.body = append([]byte("e"), x.body...)
		}),
		Entry("a body that begins as the last header would", false, func(x *callerRequest) {
			x.r.Header.Del("Tenant")
			x.body = append([]byte("\x00\x00\x00\x00\x00\x00\x00\x06Tenant\x00\x00\x00\x00\x00\x00\x00\x03one"), x.body...)
		}),
	)
})

// BenchmarkDigest shows what the digest of a request costs by the size of its body.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{1 << 10, 4 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			x := &callerRequest{h: &Handler{Dialect: headers{}}, r: httptest.NewRequest(http.MethodPost, "http://h.example/lookup/1", nil), body: make([]byte, size)}
			b.SetBytes(int64(size))
			for b.Loop() {
				x.digest()
			}
		})
	}
}
