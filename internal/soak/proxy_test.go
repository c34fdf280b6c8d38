package soak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does to the bytes that pass it.
type mode int32

const (
	pass mode = iota
	// delay holds every piece for a while.
	delay
	// silence swallows both directions of open connections.
	silence
	// oneWay swallows what the target sends.
	oneWay
	// refuse closes new connections at once.
	refuse
	modes
)

// proxy stands before one listener on loopback.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == refuse {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.add(in, out)
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

func (p *proxy) add(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy moves bytes; back is the direction from the target.
func (p *proxy) copy(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch m := mode(p.mode.Load()); {
		case m == silence || m == oneWay && back:
			n = 0
		case m == delay:
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.resetOne(to)
			}
			return
		}
	}
}

func (p *proxy) resetOne(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.resetOne(c)
		_ = c.Close()
	}
}
