package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkState is what a proxy does with the bytes of its connections.
type linkState int

const (
	linkPass    linkState = iota
	linkDelay             // each piece is held for the delay
	linkReset             // connections are reset, new ones too
	linkSilent            // connections stay open and carry nothing
	linkOneWay            // requests pass, answers are held
	linkRefused           // open connections go on, new ones are reset
)

const (
	// pollLink is the time between two looks at the state while bytes are held.
	pollLink = 10 * time.Millisecond
	// proxyBuffer is the largest piece that is passed on at once, in bytes.
	proxyBuffer = 16 << 10
	dialBackend = time.Second
)

// proxy passes TCP connections on to a backend, or does not.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	backend string
	state   linkState
	delay   time.Duration
	conns   map[net.Conn]bool
	closed  bool
}

func newProxy(backend string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, backend: backend, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the state. A reset ends the open connections at once.
func (p *proxy) set(s linkState, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.delay = s, delay
	if s == linkReset {
		p.resetAll()
	}
}

// setBackend sends new connections elsewhere and resets the open ones.
func (p *proxy) setBackend(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = address
	p.resetAll()
}

func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
}

func (p *proxy) look() (s linkState, delay time.Duration, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.delay, p.closed
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// keep registers a connection until the returned function is called.
func (p *proxy) keep(c net.Conn) (drop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
}

func (p *proxy) serve(caller net.Conn) {
	defer p.keep(caller)()
	if s, _, _ := p.look(); s == linkReset || s == linkRefused {
		reset(caller)
		return
	}
	p.mu.Lock()
	backend := p.backend
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", backend, dialBackend)
	if err != nil {
		reset(caller)
		return
	}
	defer p.keep(server)()
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(server, caller, false) })
	wg.Go(func() { p.pass(caller, server, true) })
	wg.Wait()
	_ = caller.Close()
	_ = server.Close()
}

// pass copies bytes in one direction. The end of a connection that broke
// becomes a reset on the other side, an orderly end stays one.
func (p *proxy) pass(to, from net.Conn, answers bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if !p.wait(answers) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// wait holds a piece as the state demands. It returns false if the proxy ends.
func (p *proxy) wait(answers bool) bool {
	for {
		s, delay, closed := p.look()
		switch {
		case closed:
			return false
		case s == linkSilent || s == linkOneWay && answers:
			time.Sleep(pollLink)
			continue
		case s == linkDelay:
			time.Sleep(delay)
		}
		return true
	}
}
