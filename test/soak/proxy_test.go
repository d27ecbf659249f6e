package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"hickoryroute/pkg/transport/netconn"
)

// linkState is the impairment that a proxy applies to its connections.
type linkState int

const (
	linkPass    linkState = iota
	linkDelay             // each piece of data is delayed
	linkReset             // open and new connections are reset
	linkStalled           // connections stay open and carry no data
	linkOneWay            // requests pass, responses do not
	linkRefused           // open connections keep working, new ones are reset
)

const (
	// linkPollInterval is the time between two checks of the state while no data
	// may pass.
	linkPollInterval = 10 * time.Millisecond
	// proxyBufferBytes is the size of the largest piece that is forwarded at once.
	proxyBufferBytes = 16 << 10
	dialTimeout      = time.Second
)

// proxy forwards TCP connections to a backend and impairs them by its state.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	backend string
	state   linkState
	delay   time.Duration
	conns   map[net.Conn]bool
	closed  bool
	// silenced is closed when the connections that are open go silent for good.
	silenced chan struct{}
}

func newProxy(backend string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, backend: backend, conns: map[net.Conn]bool{}, silenced: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setState changes the state. linkReset resets the open connections at once.
func (p *proxy) setState(s linkState, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.delay = s, delay
	if s == linkReset {
		p.resetConnections()
	}
}

// setBackend changes the backend of new connections and resets the open ones.
func (p *proxy) setBackend(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = address
	p.resetConnections()
}

// silenceConnections lets the open connections carry no more data, without a
// reset, while new ones work.
func (p *proxy) silenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

func (p *proxy) resetConnections() {
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
	p.resetConnections()
}

func (p *proxy) currentState() (s linkState, delay time.Duration, closed bool) {
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

// track registers a connection for resets until the returned function is called.
func (p *proxy) track(c net.Conn) (untrack func()) {
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
	defer p.track(caller)()
	if s, _, _ := p.currentState(); s == linkReset || s == linkRefused {
		reset(caller)
		return
	}
	p.mu.Lock()
	backend, silenced := p.backend, p.silenced
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", backend, dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	defer p.track(server)()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(server, caller, silenced, false) })
	wg.Go(func() { p.forward(caller, server, silenced, true) })
	wg.Wait()
	_ = caller.Close()
	_ = server.Close()
}

// forward copies data in one direction until the connection is silenced, after
// which it discards the data. It forwards an orderly end as such, and the end of a
// broken connection as a reset.
func (p *proxy) forward(to, from net.Conn, silenced <-chan struct{}, toCaller bool) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		passes, heldUp := p.delayBytes(toCaller)
		if !passes {
			return
		}
		// A network delivers what it has held up only if its sender sends it again.
		if heldUp && netconn.ReadEnding(from).Reset {
			reset(to)
			return
		}
		select {
		case <-silenced:
			n = 0
		default:
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		// A writer that has got the error of a reset leaves an ordinary end to the reader.
		if err == io.EOF && !netconn.ReadEnding(from).Reset {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// delayBytes blocks as long as the state delays data. It returns false if the
// proxy is closed, and whether the link carried nothing meanwhile.
func (p *proxy) delayBytes(toCaller bool) (passes, heldUp bool) {
	for {
		s, delay, closed := p.currentState()
		switch {
		case closed:
			return false, heldUp
		case s == linkStalled || s == linkOneWay && toCaller:
			heldUp = true
			time.Sleep(linkPollInterval)
			continue
		case s == linkDelay:
			time.Sleep(delay)
		}
		return true, heldUp
	}
}
