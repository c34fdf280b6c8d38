package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/upstream"
)

// A target may write any bytes. A request gets its own response or an error, and
// does not wait longer than its context allows.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("\x00\xff garbage\r\n\r\n"))
	var response []byte
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = nc.Read(buffer)
			_, _ = nc.Write(response)
			_ = nc.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, data []byte) {
		response = data
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resp, failure := upstream.NewPool(&counter{}).Do(ctx, l.Addr().String(), &upstream.Request{
			Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {"a"}}, Body: []byte("body"),
			MatchesAnswer: func(r *http.Response) upstream.Match {
				if r.Header.Get("Id") == "a" {
					return upstream.ThisRequest
				}
				return upstream.OtherRequest
			},
		})
		if failure != nil {
			if !failure.MaybeSent {
				t.Fatalf("a request that was read is reported as not sent: %v", failure)
			}
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.Header.Get("Id") != "a" {
			t.Fatalf("the response belongs to another request: %q", data)
		}
		if ctx.Err() != nil {
			t.Fatalf("the request exceeded its deadline after %q", data)
		}
	})
}
