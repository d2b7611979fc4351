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
	// Peer and Operator configure authentication of the peer and operator listeners
	// and of the clients that connect to them.
	Peer     Security
	Operator Security
	Resume   Resume
	Trace    Trace
	Log      Log
	Drain    Drain
	Limits   Limits
	Usage    Usage
}

// VM identifies the VM on which the daemon runs, and its location.
type VM struct {
	ID            lagoonhead.VMID
	FailureDomain lagoonhead.FailureDomain
	Region        lagoonhead.Region
}

// Listen holds the listen addresses (IP:port) for callers, peer daemons and operators.
type Listen struct {
	Caller   string
	Peer     string
	Operator string
}

// Platform holds the base URLs of the platform's interfaces.
type Platform struct {
	// Store is the key-value store.
	Store string
	// Ordering is the interface for ordering endpoints.
	Ordering string
	// Usage receives usage reports.
	Usage string
	// VMs is the VM list.
	VMs string
}

// Security configures how a listener and its clients authenticate each other: by
// mutual TLS, for which all three TLS files are needed, by a shared token, or both.
type Security struct {
	CertificateFile string
	// KeyFile holds the private key of the certificate.
	KeyFile string
	// AuthorityFile holds the CA certificates that the other side's certificate is
	// verified against.
	AuthorityFile string
	// TokenFile holds the shared token.
	TokenFile string
	// AllowPlainText permits listening without TLS on non-loopback addresses.
	AllowPlainText bool
}

// TLS reports whether mutual TLS is configured.
func (s Security) TLS() bool { return s.CertificateFile != "" }

// Resume configures the encryption of resume tokens, with which a caller continues an
// interrupted stream.
type Resume struct {
	// KeyFile names a file that holds a key of 32 bytes in hexadecimal. Empty means
	// that each daemon generates its own key, so that a stream can be resumed only
	// through the same VM.
	KeyFile string
}

// Exporter is the destination of trace spans.
type Exporter string

// The exporters.
const (
	ExportNone   Exporter = "none"
	ExportStdout Exporter = "stdout"
	ExportOTLP   Exporter = "otlp"
)

// Trace configures tracing.
type Trace struct {
	Exporter Exporter
	// Endpoint is the base URL of the collector for ExportOTLP.
	Endpoint string
	// SampleRatio is the fraction of requests that are traced, from 0 to 1.
	SampleRatio float64
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	// Delay is how long the daemon still accepts requests after it reports that it is not
	// ready. It must be longer than the load balancer and the VM list take to notice.
	Delay time.Duration
	// InFlightTimeout is how long requests in flight may take to complete after Delay.
	InFlightTimeout time.Duration
}

// Limits bounds the resources that callers can use.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MemoryBytes is the memory that the daemon may take, in bytes. 0 means that of the machine.
	MemoryBytes int64
	// MaxWait is the maximum time that a request waits for tokens of its workspace's
	// rate limit.
	MaxWait time.Duration
	// MaxInFlight is the maximum number of concurrent requests.
	MaxInFlight int
	// HeaderTimeout is the time within which a caller must send its request headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a stream from an engine is ended if the engine
	// sends nothing.
	IdleTimeout time.Duration
}

// Usage configures usage reports.
type Usage struct {
	// Window is the length of the time window that one usage report covers. One daemon
	// at a time reports for the whole fleet and uses its own value, so all daemons
	// should have the same value.
	Window time.Duration
}

// Defaults of the settings.
const (
	defaultCallerAddress   = "127.0.0.1:8080"
	defaultPeerAddress     = "127.0.0.1:8081"
	defaultOperatorAddress = "127.0.0.1:8082"
	// The VM list and the load balancer take up to 15 s to notice a change.
	defaultDrainLag      = 20 * time.Second
	defaultDrainMax      = 15 * time.Minute
	defaultMaxBodyBytes  = 8 << 20
	defaultMaxWait       = 10 * time.Second
	defaultMaxInFlight   = 20_000
	defaultHeaderTimeout = 5 * time.Second
	// Engines send a keep-alive at least every 2 s.
	defaultIdleTimeout = 6 * time.Second
	defaultSampleRatio = 0.01
	defaultUsageWindow = time.Minute
)

// Default returns the default settings. They do not pass Check, since the identity and
// location of the VM and the URLs of the store and the VM list have no default.
func Default() Settings {
	return Settings{
		Listen: Listen{Caller: defaultCallerAddress, Peer: defaultPeerAddress, Operator: defaultOperatorAddress},
		Trace:  Trace{Exporter: ExportNone, SampleRatio: defaultSampleRatio},
		Log:    Log{Level: "info"},
		Drain:  Drain{Delay: defaultDrainLag, InFlightTimeout: defaultDrainMax},
		Limits: Limits{
			MaxBodyBytes: defaultMaxBodyBytes, MaxWait: defaultMaxWait, MaxInFlight: defaultMaxInFlight,
			HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		},
		Usage: Usage{Window: defaultUsageWindow},
	}
}
