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
	operatorHeaderTime  = 5 * time.Second
	operatorRequestTime = 60 * time.Second
	operatorHeaderBytes = 16 << 10
	// operatorConns leaves room for all operators and a few scrapers. Further
	// connections wait in the listen queue.
	operatorConns = 128
)

// managedServer is an HTTP server of the operator or metrics port.
type managedServer struct{ http *http.Server }

// serve accepts connections on all ports.
func (v *VM) serve(l *listeners) {
	v.goServe("peer", func() error {
		if err := v.peerServer.Serve(withTLS(l.peer, v.cfg.peerServerTLS()), handler{v}); !errors.Is(err, peer.ErrClosed) {
			return err
		}
		return nil
	})
	v.goServe("caller", func() error { return v.callers.Serve(withTLS(l.caller, v.cfg.CallerTLS)) })
	v.goHTTP("operator", operatorListener(l.operator, v.cfg.OperatorTLS), operatorhttp.Handler(operatorBackend{v}, v.cfg.OperatorTokens))
	if l.metrics != nil {
		v.goHTTP("metrics", operatorListener(l.metrics, v.cfg.MetricsTLS), operatorhttp.MetricsHandler(operatorBackend{v}))
	}
}

func (c Config) peerServerTLS() *tls.Config {
	if c.PeerTLS == nil {
		return nil
	}
	return c.PeerTLS.Server
}

// operatorListener limits the connections below TLS, because net/http
// recognises a TLS connection by its type and would lose client certificates.
func operatorListener(l net.Listener, config *tls.Config) net.Listener {
	return withTLS(netutil.LimitListener(l, operatorConns), config)
}

func withTLS(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}

func (v *VM) goHTTP(name string, l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: operatorHeaderTime,
		ReadTimeout:       operatorRequestTime,
		WriteTimeout:      operatorRequestTime,
		MaxHeaderBytes:    operatorHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	v.servers = append(v.servers, &managedServer{s})
	v.goServe(name, func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

func (v *VM) goServe(name string, f func() error) {
	v.goRun(func() {
		if err := f(); err != nil {
			v.log.Log(eventListen, map[string]any{"port": name, "error": err.Error()})
		}
	})
}
