package starter

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep/loader"
)

// certCheckInterval is how often the certificate files are checked for changes.
const certCheckInterval = 10 * time.Second

// certificates holds the daemon's certificate and the CA certificates that verify its
// peers. It rereads the files when they change, so that a certificate can be replaced
// without a restart.
type certificates struct {
	certFile, keyFile, caFile string

	mu      sync.Mutex
	checked time.Time
	modTime time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// newCertificates reads the files that the settings name. It returns nil if they name
// no certificate.
func newCertificates(s *loader.Settings) (*certificates, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	c := &certificates{certFile: s.CertFile, keyFile: s.KeyFile, caFile: s.CAFile}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.modTime = c.lastModified()
	c.checked = time.Now()
	return c, nil
}

// load reads the files; on an error the previous certificate and pool stay in use.
func (c *certificates) load() error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	var pool *x509.CertPool
	if c.caFile != "" {
		pem, err := os.ReadFile(c.caFile)
		if err != nil {
			return errors.Wrap(err, "caFile")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Newf("caFile: no certificate in %s", c.caFile)
		}
	}
	c.cert, c.pool = &cert, pool
	return nil
}

// lastModified returns the time of the last change to any of the files.
func (c *certificates) lastModified() time.Time {
	var newest time.Time
	for _, name := range []string{c.certFile, c.keyFile, c.caFile} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificate and the pool of CA certificates, and rereads the
// files first if they changed. It checks for changes at most every
// certCheckInterval.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < certCheckInterval {
		return c.cert, c.pool
	}
	c.checked = time.Now()
	if modTime := c.lastModified(); modTime.After(c.modTime) && c.load() == nil {
		c.modTime = modTime
	}
	return c.cert, c.pool
}

// server returns the configuration of a listener. With a caFile, clients must present
// a certificate that it verifies.
func (c *certificates) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{*cert},
			}
			if pool != nil {
				cfg.ClientCAs = pool
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return cfg, nil
		},
	}
}

// client returns the configuration of calls to other daemons. Daemons are called
// by IP address, which their certificates must contain. Changes of the own certificate
// take effect, but the CA certificates stay those that were read first.
func (c *certificates) client() *tls.Config {
	_, pool := c.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
	}
}
