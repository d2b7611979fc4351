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

// The environment variables that set the defaults of -address and -token-file, and the
// address without either.
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

// remote holds the flags of commands that send a request to a daemon.
type remote struct {
	address, tokenFile            string
	certificate, key, authorities string
	timeout                       time.Duration
}

// remoteFlags declares the flags of remote.
func (k *invocation) remoteFlags() *remote {
	r := &remote{address: defaultAddress, tokenFile: k.environment(environmentToken)}
	if a := k.environment(environmentAddress); a != "" {
		r.address = a
	}
	f := k.flags
	f.StringVar(&r.address, "address", r.address, "base `URL` of the daemon's operator listener; the default can be set in $"+environmentAddress)
	f.StringVar(&r.tokenFile, "token-file", r.tokenFile, "`file` with the operator token; the default can be set in $"+environmentToken)
	f.StringVar(&r.certificate, "cert", "", "`file` with the client certificate, for mutual TLS")
	f.StringVar(&r.key, "key", "", "`file` with the private key of the client certificate")
	f.StringVar(&r.authorities, "ca", "", "`file` with the CA certificates that the daemon's certificate is verified against")
	f.DurationVar(&r.timeout, "timeout", defaultTimeout, "maximum time for the response, to which -wait adds the value of -wait-time")
	return r
}

// client returns a client of the daemon with the address, token and TLS files of the flags.
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

// context returns the context of a request whose response the daemon may delay by wait.
func (r *remote) context(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, r.timeout+wait)
}

// waitOptions holds the flags -wait and -wait-time of commands that commit a revision.
type waitOptions struct {
	all     bool
	maximum time.Duration
}

func (k *invocation) waitFlags() *waitOptions {
	w := &waitOptions{}
	k.flags.BoolVar(&w.all, "wait", false, "wait until every listed VM has confirmed the revision")
	k.flags.DurationVar(&w.maximum, "wait-time", defaultWait, "maximum time that -wait waits")
	return w
}

// duration returns the time to wait for the confirmations of all listed VMs, or 0 to wait
// for a majority only.
func (w *waitOptions) duration() time.Duration {
	if !w.all {
		return 0
	}
	return w.maximum
}

// printCommit calls print and prints the result of a commit. It returns an error if no
// majority of the VMs has confirmed the revision, if the daemon does not know the VMs, or
// with -wait if any VM has not confirmed it.
func (k *invocation) printCommit(r *operator.CommitResponse, w *waitOptions, print func()) error {
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
