package entry

import (
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/pkg/transport/peer"
)

// Limits of the operator and metrics ports.
const (
	operatorHeaderTimeout  = 5 * time.Second
	operatorRequestTimeout = 60 * time.Second
	maxOperatorHeaderBytes = 16 << 10
	// maxOperatorConns is enough for all operators and a few metrics scrapers.
	// Further connections wait in the listen queue.
	maxOperatorConns = 128
)

// httpServer is the HTTP server of the operator or metrics port.
type httpServer struct{ http *http.Server }

// serveListeners starts to accept connections on all ports.
func (v *VM) serveListeners(l *listeners) {
	v.startServing("peer", func() error {
		if err := v.peerServer.Serve(withTLS(l.peer, v.cfg.peerServerTLS()), peerHandler{v}); !errors.Is(err, peer.ErrClosed) {
			return err
		}
		return nil
	})
	v.startServing("caller", func() error { return v.callerServer.Serve(l.caller) })
	v.startHTTPServer("operator", operatorListener(l.operator, v.cfg.OperatorTLS), operatorhttp.Handler(operatorBackend{v}, v.cfg.OperatorTokens))
	if l.metrics != nil {
		v.startHTTPServer("metrics", operatorListener(l.metrics, v.cfg.MetricsTLS), operatorhttp.MetricsHandler(operatorBackend{v}))
	}
}

func (c Config) peerServerTLS() *tls.Config {
	if c.PeerTLS == nil {
		return nil
	}
	return c.PeerTLS.Server
}

// operatorListener limits the number of connections of l. The limit is below
// TLS, because net/http recognizes a TLS connection by its type and would
// otherwise lose the client certificates.
func operatorListener(l net.Listener, config *tls.Config) net.Listener {
	return withTLS(netutil.LimitListener(l, maxOperatorConns), config)
}

func withTLS(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}

func (v *VM) startHTTPServer(name string, l net.Listener, handler http.Handler) {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout:       operatorRequestTimeout,
		WriteTimeout:      operatorRequestTimeout,
		MaxHeaderBytes:    maxOperatorHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	v.httpServers = append(v.httpServers, &httpServer{s})
	v.startServing(name, func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

func (v *VM) startServing(name string, serve func() error) {
	v.runInBackground(func() {
		if err := serve(); err != nil {
			v.log.Log(eventListenerFailed, map[string]any{"port": name, "error": err.Error()})
		}
	})
}
