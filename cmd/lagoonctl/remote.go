package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead/operator"
)

// Names of environment variables that stand in for flags.
const (
	environmentAddress = "LAGOONHEAD_OPERATOR"
	environmentToken   = "LAGOONHEAD_TOKEN_FILE"
	defaultAddress     = "http://127.0.0.1:8082"
)

const (
	defaultTimeout = 30 * time.Second
	defaultWait    = time.Minute
	maxTokenBytes  = 4 << 10
)

// remote holds the flags of commands that talk to a daemon.
type remote struct {
	address, tokenFile            string
	certificate, key, authorities string
	timeout                       time.Duration
}

// remoteFlags declares the flags.
func (k *call) remoteFlags() *remote {
	r := &remote{address: defaultAddress, tokenFile: k.environment(environmentToken)}
	if a := k.environment(environmentAddress); a != "" {
		r.address = a
	}
	f := k.flags
	f.StringVar(&r.address, "address", r.address, "base `URL` of the operator listener, or $"+environmentAddress)
	f.StringVar(&r.tokenFile, "token-file", r.tokenFile, "`file` with the operator token, or $"+environmentToken)
	f.StringVar(&r.certificate, "cert", "", "`file` with the client certificate, for mutual TLS")
	f.StringVar(&r.key, "key", "", "`file` with the key of the client certificate")
	f.StringVar(&r.authorities, "ca", "", "`file` with the certificate authority of the daemon")
	f.DurationVar(&r.timeout, "timeout", defaultTimeout, "longest time for the answer, waiting for VMs not included")
	return r
}

// client returns the client that the flags describe.
func (r *remote) client() (*operator.Client, error) {
	u, err := url.Parse(r.address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, &usageError{fmt.Sprintf("-address %q is not a URL such as %s", r.address, defaultAddress)}
	}
	token, err := r.token()
	if err != nil {
		return nil, err
	}
	config, err := r.tls()
	if err != nil {
		return nil, err
	}
	return operator.NewClient(strings.TrimSuffix(r.address, "/"), token, config), nil
}

func (r *remote) token() (string, error) {
	if r.tokenFile == "" {
		return "", nil
	}
	b, err := os.ReadFile(r.tokenFile)
	if err != nil {
		return "", &usageError{"the token file cannot be read: " + err.Error()}
	}
	token := strings.TrimSpace(string(b))
	if token == "" || len(token) > maxTokenBytes || strings.ContainsAny(token, "\r\n") {
		return "", &usageError{fmt.Sprintf("the token file %s does not have one line with a token", r.tokenFile)}
	}
	return token, nil
}

func (r *remote) tls() (*tls.Config, error) {
	if r.certificate+r.key+r.authorities == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if r.certificate+r.key != "" {
		pair, err := tls.LoadX509KeyPair(r.certificate, r.key)
		if err != nil {
			return nil, &usageError{"-cert and -key are not usable: " + err.Error()}
		}
		config.Certificates = []tls.Certificate{pair}
	}
	if r.authorities != "" {
		pem, err := os.ReadFile(r.authorities)
		if err != nil {
			return nil, &usageError{"-ca is not usable: " + err.Error()}
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, &usageError{"-ca has no certificate: " + r.authorities}
		}
	}
	return config, nil
}

// context bounds a call that waits for the given time at the daemon.
func (r *remote) context(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, r.timeout+wait)
}

// waiting holds the flags of commands that change the configuration.
type waiting struct {
	all  bool
	time time.Duration
}

func (k *call) waitFlags() *waiting {
	w := &waiting{}
	k.flags.BoolVar(&w.all, "wait", false, "wait until every listed VM has confirmed the revision")
	k.flags.DurationVar(&w.time, "wait-time", defaultWait, "longest time for -wait")
	return w
}

// duration returns the time to wait for all, or 0 to wait for the majority only.
func (w *waiting) duration() time.Duration {
	if !w.all {
		return 0
	}
	return w.time
}

// committed prints the result of a command and says who has not confirmed it when
// that was waited for.
func (k *call) committed(r *operator.CommitResponse, w *waiting, print func()) error {
	if print != nil {
		print()
	}
	confirmed, total := len(r.GetConfirmed()), len(r.GetConfirmed())+len(r.GetUnconfirmed())
	if !k.json {
		fmt.Fprintf(k.out, "revision %d is committed and confirmed by %d of %d VMs\n", r.GetRevision(), confirmed, total)
	}
	missing := strings.Join(r.GetUnconfirmed(), ", ")
	switch {
	case total == 0:
		return &unconfirmedError{fmt.Sprintf(
			"revision %d is committed, but the daemon does not know the VMs that must confirm it", r.GetRevision())}
	case !r.GetAccepted():
		return &unconfirmedError{fmt.Sprintf(
			"revision %d is committed, but a majority has not confirmed it yet; missing: %s", r.GetRevision(), missing)}
	case w.all && missing != "":
		return &unconfirmedError{fmt.Sprintf(
			"revision %d is accepted, but not yet confirmed by: %s", r.GetRevision(), missing)}
	default:
		return nil
	}
}
