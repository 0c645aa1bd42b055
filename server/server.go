// Package server is the HTTP side of a daemon: callers' requests under one
// address and operators' under another, both on go-zero's rest.
//
// Each of rest's middlewares was chosen for what it does to the truth of an
// answer. Timeout, Shedding, Breaker and MaxConns are off: each answers 503
// before or while the handler runs, so a caller could be told "not run" of a
// request that did. The admitter sheds instead, where it is known whether
// anything has begun. Recover and MaxBytes stay on; neither can hide a run,
// since MaxBytes acts while the body is read and a panic is answered with an
// unknown outcome.
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
	// headerTimeout bounds how long a connection may take to send its header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds how long a connection may take to send its request.
	bodyTimeout = 15 * time.Second
	// idleTimeout closes connections that ask nothing more.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// Server serves one set of routes on one address.
type Server struct {
	// Name is the name go-zero logs under.
	Name string
	// Routes are what is served.
	Routes []rest.Route
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// TLS is the certificate and the authorities; nil talks in the clear.
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
		return errors.Wrap(err, "rest server")
	}
	logx.DisableStat()
	restServer.AddRoutes(s.Routes)
	serverless, err := rest.NewServerless(restServer)
	if err != nil {
		return errors.Wrap(err, "rest routes")
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

// Serve answers on l until Shutdown; it returns nil after one.
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

// Shutdown refuses new connections and waits for the requests under way, until
// ctx ends. It cuts off none before that.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close cuts all connections.
func (s *Server) Close() error {
	return s.http.Close()
}
