package soak_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// keptConnTimeout bounds one request on a keptConn.
const keptConnTimeout = 6 * time.Second

// keptConn sends the requests of one caller on one connection until that ends. Unlike
// http.Transport it also uses it after Connection: close. It never sends a request twice.
type keptConn struct {
	address string
	nc      net.Conn
	br      *bufio.Reader
}

// RoundTrip implements http.RoundTripper. The body of the response before must have been
// read or closed.
func (k *keptConn) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.nc == nil {
		nc, err := net.DialTimeout("tcp", k.address, time.Second)
		if err != nil {
			return nil, err
		}
		k.nc, k.br = nc, bufio.NewReader(nc)
	}
	_ = k.nc.SetDeadline(time.Now().Add(keptConnTimeout))
	err := r.Write(k.nc)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(k.br, r); err == nil {
			resp.Body = &keptBody{ReadCloser: resp.Body, conn: k}
			return resp, nil
		}
	}
	k.close()
	return nil, err
}

func (k *keptConn) close() {
	if k.nc != nil {
		_ = k.nc.Close()
		k.nc = nil
	}
}

// keptBody closes its connection if the body is not complete.
type keptBody struct {
	io.ReadCloser
	conn *keptConn
}

// Read implements io.Reader.
func (b *keptBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		b.conn.close()
	}
	return n, err
}
