package soak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is what a proxy does with the data that it receives.
type proxyMode int32

const (
	// passData forwards all data.
	passData proxyMode = iota
	// delayData forwards the data of each read after 20 ms.
	delayData
	// dropBothWays drops the data of both directions and keeps connections open.
	dropBothWays
	// dropFromUpstream drops the data that the upstream sends.
	dropFromUpstream
	// refuseNew closes new connections at once. Open ones are forwarded.
	refuseNew
	modeCount
)

// proxy forwards TCP connections to one upstream, a target or the store, and can
// disturb them.
type proxy struct {
	// ownAddress is the address of the proxy; it stays while the proxy is down.
	ownAddress string
	upstream   string
	// mode is a proxyMode.
	mode     atomic.Int32
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// newProxy starts a proxy on a free port of ip that forwards to upstream.
func newProxy(ip, upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ownAddress: l.Addr().String(), listener: l, upstream: upstream, conns: make(map[net.Conn]bool)}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.ownAddress }

// goDown makes the proxy refuse connections and resets all open ones, as an upstream
// that has crashed would.
func (p *proxy) goDown() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.resetAll()
}

// goUp makes the proxy accept connections again.
func (p *proxy) goUp() {
	l, err := net.Listen("tcp", p.ownAddress)
	if err != nil {
		time.AfterFunc(10*time.Millisecond, p.goUp)
		return
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
}

func (p *proxy) setMode(m proxyMode) { p.mode.Store(int32(m)) }

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		if proxyMode(p.mode.Load()) == refuseNew {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.track(in, out)
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

// track registers connections for resetAll.
func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy forwards data until a connection ends, then closes both. fromTarget reports
// whether the data comes from the target.
func (p *proxy) copy(to, from net.Conn, fromTarget bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	// Nothing follows what was dropped: TCP never delivers data with a gap.
	dropped := false
	for {
		n, err := from.Read(buf)
		switch m := proxyMode(p.mode.Load()); {
		case dropped || m == dropBothWays || m == dropFromUpstream && fromTarget:
			dropped = dropped || n > 0
			n = 0
		case m == delayData:
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.resetOnClose(to)
			}
			return
		}
	}
}

// resetOnClose makes Close send a TCP reset.
func (p *proxy) resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.resetOnClose(c)
		_ = c.Close()
	}
}
