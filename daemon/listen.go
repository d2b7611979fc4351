package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/timer"
)

// certificateCacheTime is how long a key pair is cached before its files are read again,
// so that renewed files take effect without a restart.
const certificateCacheTime = 10 * time.Second

// certificates caches a key pair and reads its files again after certificateCacheTime.
type certificates struct {
	security settings.Security
	timer    timer.Timer

	mu     sync.Mutex
	readAt time.Duration
	pair   *tls.Certificate
}

func (c *certificates) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	if c.pair != nil && now-c.readAt < certificateCacheTime {
		return c.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(c.security.CertificateFile, c.security.KeyFile)
	if err != nil {
		if c.pair != nil {
			// The files may be in the middle of a replacement; keep the old pair.
			return c.pair, nil
		}
		return nil, err
	}
	c.pair = &pair
	c.readAt = now
	return c.pair, nil
}

// tlsConfigs returns the server and the client configuration for mutual TLS. Both are nil
// when the settings name no certificate.
func tlsConfigs(s settings.Security, t timer.Timer) (server, client *tls.Config, err error) {
	if !s.TLS() {
		return nil, nil, nil
	}
	pem, err := os.ReadFile(s.AuthorityFile)
	if err != nil {
		return nil, nil, fail("tls", lagoonhead.KindInvalid, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, fail("tls", lagoonhead.KindInvalid, errors.Newf("authority file %q has no certificate", s.AuthorityFile))
	}
	c := &certificates{security: s, timer: t}
	if _, err := c.get(); err != nil {
		return nil, nil, fail("tls", lagoonhead.KindInvalid, err)
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get() },
	}
	return server, client, nil
}

// listen opens a listener, with TLS when config is not nil.
func listen(address string, config *tls.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fail("listen", lagoonhead.KindUnavailable, err)
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return l, nil
}
