package settings

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

// Settings are the settings of one daemon.
type Settings struct {
	VM       VM
	Listen   Listen
	Platform Platform
	// Peer and Operator say how the two listeners and their clients authenticate.
	Peer     Security
	Operator Security
	Resume   Resume
	Trace    Trace
	Log      Log
	Drain    Drain
	Limits   Limits
	Usage    Usage
}

// VM says who and where the daemon is.
type VM struct {
	ID            lagoonhead.VMID
	FailureDomain lagoonhead.FailureDomain
	Region        lagoonhead.Region
}

// Listen holds the addresses (IP:port) of the three listeners.
type Listen struct {
	Caller   string
	Peer     string
	Operator string
}

// Platform holds the base URLs of the platform's interfaces.
type Platform struct {
	Store    string
	Ordering string
	Usage    string
	VMs      string
}

// Security says how a listener and the clients that talk to it authenticate: with
// mutual TLS from three files, with a shared token from a file, or both.
type Security struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	TokenFile       string
	// AllowPlainText allows no TLS on addresses other than loopback.
	AllowPlainText bool
}

// TLS reports whether mutual TLS is set up.
func (s Security) TLS() bool { return s.CertificateFile != "" }

// Resume holds what seals the resume tokens of streams.
type Resume struct {
	// KeyFile names a file with 32 bytes in hexadecimal. Empty means that each
	// daemon makes its own key, so that streams resume at the same VM only.
	KeyFile string
}

// Exporter says where trace spans go.
type Exporter string

// The exporters.
const (
	ExportNone   Exporter = "none"
	ExportStdout Exporter = "stdout"
	ExportOTLP   Exporter = "otlp"
)

// Trace says where trace spans go.
type Trace struct {
	Exporter Exporter
	// Endpoint is the base URL of the collector for otlp.
	Endpoint string
	// SampleRatio is the share of requests that are traced, from 0 to 1.
	SampleRatio float64
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	// Lag is how long the daemon goes on accepting after it has turned unready. It
	// must be longer than the balancer and the VM list lag.
	Lag time.Duration
	// Max is how long running requests may take after that.
	Max time.Duration
}

// Limits bound what callers can use.
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// MaxWait is the longest time that a request waits for tokens.
	MaxWait time.Duration
	// MaxInFlight is the largest number of requests at once.
	MaxInFlight int
	// HeaderTimeout bounds the time in which a caller sends its headers.
	HeaderTimeout time.Duration
	// IdleTimeout ends a stream on which an engine sends nothing.
	IdleTimeout time.Duration
}

// Usage says how usage is reported.
type Usage struct {
	// Window is the length of a usage window. The daemon that holds the duty of usage
	// reports decides, so all daemons should have the same.
	Window time.Duration
}

// Defaults of the settings.
const (
	defaultCaller   = "127.0.0.1:8080"
	defaultPeer     = "127.0.0.1:8081"
	defaultOperator = "127.0.0.1:8082"
	// The list of VMs and the balancer lag up to 15 s.
	defaultLag           = 20 * time.Second
	defaultDrainMax      = 15 * time.Minute
	defaultMaxBody       = 8 << 20
	defaultMaxWait       = 10 * time.Second
	defaultMaxInFlight   = 20_000
	defaultHeaderTimeout = 5 * time.Second
	// Engines send a keep-alive at least every 2 s.
	defaultIdleTimeout = 6 * time.Second
	defaultSampleRatio = 0.01
	defaultWindow      = time.Minute
)

// Default returns the settings of a daemon for which nothing is set. They lack the
// identity of the VM and the store, which have no default.
func Default() Settings {
	return Settings{
		Listen: Listen{Caller: defaultCaller, Peer: defaultPeer, Operator: defaultOperator},
		Trace:  Trace{Exporter: ExportNone, SampleRatio: defaultSampleRatio},
		Log:    Log{Level: "info"},
		Drain:  Drain{Lag: defaultLag, Max: defaultDrainMax},
		Limits: Limits{
			MaxBodyBytes: defaultMaxBody, MaxWait: defaultMaxWait, MaxInFlight: defaultMaxInFlight,
			HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		},
		Usage: Usage{Window: defaultWindow},
	}
}
