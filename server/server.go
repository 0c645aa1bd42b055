// Package server is the HTTP interface of a daemon: callers' requests on one
// address and operators' on another, both with go-zero's rest.
//
// A rest middleware is enabled only if it can't make an answer's outcome wrong.
// Timeout, Shedding, Breaker and MaxConns are off: each answers 503 before or
// while the handler runs, so a caller could receive "not run" for a request that
// did run. The admitter sheds instead, where it is known whether the request has
// started. Recover and MaxBytes are on: MaxBytes refuses a request before the
// handler runs, and the response to a panic is a 500 without an outcome, so that the
// outcome is unknown.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// headerTimeout bounds how long a connection may take to send a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds how long a connection may take to send a whole request.
	bodyTimeout = 15 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// Server serves one set of routes on one address.
type Server struct {
	// Name is the service name in go-zero's logs.
	Name string
	// Routes are the routes served.
	Routes []rest.Route
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// TLS is the certificate and the authorities; nil means plain HTTP.
	TLS *tls.Config

	http *http.Server
}

// Init prepares the server; call it once before Serve and Shutdown.
func (s *Server) Init() error {
	restServer, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: s.Name,
			Log:  logx.LogConf{Mode: "console", Level: "error", Stat: false},
		},
		MaxBytes:    s.MaxBodyBytes,
		Middlewares: rest.MiddlewaresConf{Recover: true, MaxBytes: true},
	})
	if err != nil {
		return errors.Wrap(err, "create the rest server")
	}
	logx.DisableStat()
	restServer.AddRoutes(s.Routes)
	serverless, err := rest.NewServerless(restServer)
	if err != nil {
		return errors.Wrap(err, "add the routes to the rest server")
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(serverless.Serve),
		TLSConfig:         s.TLS,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return nil
}

// Serve serves on l until Shutdown; it returns nil after one.
func (s *Server) Serve(l net.Listener) error {
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown refuses new connections and waits for the requests in progress, until
// ctx ends. It aborts none of them.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes all connections immediately.
func (s *Server) Close() error {
	return s.http.Close()
}
