package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/strict"
)

// maxBytes is the largest settings file.
const maxBytes = 64 << 10

// Load reads a settings file and checks it. The error lists every fault.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{lagoonhead.Fault{Op: "settings.load", Kind: lagoonhead.KindNotFound, Err: err}}
	}
	return Parse(file, text)
}

// Parse reads the text of a settings file. The name of the file is used in
// messages only.
func Parse(file string, text []byte) (Settings, error) {
	const op = "settings.parse"
	m, err := strict.Open(file, text, maxBytes)
	if err != nil {
		return Settings{}, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: errors.Unwrap(err)}}
	}
	s := read(m)
	if err := m.Err(op); err != nil {
		return Settings{}, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: errors.Unwrap(err)}}
	}
	return s, nil
}

func read(m *strict.Map) Settings {
	s := Default()
	section(m, "vm", s.VM.read)
	section(m, "listen", s.Listen.read)
	section(m, "platform", s.Platform.read)
	section(m, "peer", s.Peer.read)
	section(m, "operator", s.Operator.read)
	section(m, "resume", s.Resume.read)
	section(m, "trace", s.Trace.read)
	section(m, "log", s.Log.read)
	section(m, "drain", s.Drain.read)
	section(m, "limits", s.Limits.read)
	section(m, "usage", s.Usage.read)
	m.End()
	s.place(m)
	return s
}

// place reports the faults between fields at their places in the document, but
// for fields that have a fault already.
func (s Settings) place(m *strict.Map) {
	for _, f := range s.faults() {
		n := m.Map(f.section)
		if !n.Failed(f.field) {
			n.Fail(f.field, f.message, f.accepted)
		}
	}
}

func section(m *strict.Map, name string, read func(*strict.Map)) {
	n := m.Map(name)
	if m.Has(name) {
		read(n)
		n.End()
	}
}

func (v *VM) read(m *strict.Map) {
	v.ID = lagoonhead.VMID(m.Name("id"))
	v.FailureDomain = lagoonhead.FailureDomain(m.Name("failureDomain"))
	v.Region = lagoonhead.Region(m.Name("region"))
}

const acceptedListen = `an IP number and a port, for example "10.0.0.7:8080"`

func (l *Listen) read(m *strict.Map) {
	l.Caller = m.Text("caller", l.Caller)
	l.Peer = m.Text("peer", l.Peer)
	l.Operator = m.Text("operator", l.Operator)
}

func (p *Platform) read(m *strict.Map) {
	p.Store = baseURL(m, "store")
	p.Ordering = baseURL(m, "ordering")
	p.Usage = baseURL(m, "usage")
	p.VMs = baseURL(m, "vms")
}

func baseURL(m *strict.Map, name string) string {
	const accepted = `a URL with an IP number and a port, for example "http://10.0.0.7:9000"`
	s := m.Text(name, "")
	if !m.Has(name) || m.Failed(name) {
		return ""
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || s != u.Scheme+"://"+u.Host {
		m.Fail(name, strconv.Quote(s)+" is not a base URL", accepted)
		return s
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		m.Fail(name, strconv.Quote(s)+" has no IP number and port", accepted)
	}
	return s
}

func (s *Security) read(m *strict.Map) {
	s.CertificateFile = m.Text("certificateFile", "")
	s.KeyFile = m.Text("keyFile", "")
	s.AuthorityFile = m.Text("authorityFile", "")
	s.TokenFile = m.Text("tokenFile", "")
	s.AllowPlainText = m.Bool("allowPlainText", false)
}

func (r *Resume) read(m *strict.Map) { r.KeyFile = m.Text("keyFile", "") }

func (t *Trace) read(m *strict.Map) {
	t.Exporter = Exporter(m.OneOf("exporter", string(t.Exporter),
		string(ExportNone), string(ExportStdout), string(ExportOTLP)))
	t.Endpoint = baseURL(m, "endpoint")
	r := ratio(t.SampleRatio)
	m.Value("sampleRatio", &r)
	t.SampleRatio = float64(r)
}

// ratio is a share, written as a percentage.
type ratio float64

// UnmarshalText reads the text form.
func (r *ratio) UnmarshalText(b []byte) error {
	n, ok := bytes.CutSuffix(b, []byte("%"))
	v, err := strconv.ParseFloat(string(n), 64)
	if !ok || err != nil || !(v >= 0 && v <= 100) {
		return fmt.Errorf("%q is not a percentage", b)
	}
	*r = ratio(v / 100)
	return nil
}

// Accepted describes the text form.
func (r *ratio) Accepted() string { return `a percentage from 0% to 100%, for example "1%"` }

func (l *Log) read(m *strict.Map) {
	l.Level = m.OneOf("level", l.Level, "debug", "info", "warn", "error")
}

const (
	maxLag  = 10 * time.Minute
	maxTime = 24 * time.Hour
)

func (d *Drain) read(m *strict.Map) {
	d.Lag = m.Duration("lag", d.Lag, 0, maxLag)
	d.Max = m.Duration("max", d.Max, time.Second, maxTime)
}

func (l *Limits) read(m *strict.Map) {
	size := bodySize(l.MaxBodyBytes)
	m.Value("maxBody", &size)
	l.MaxBodyBytes = int64(size)
	l.MaxWait = m.Duration("maxWait", l.MaxWait, 0, maxLag)
	l.MaxInFlight = int(m.Int("maxInFlight", int64(l.MaxInFlight), 1, 1_000_000))
	l.HeaderTimeout = m.Duration("headerTimeout", l.HeaderTimeout, 100*time.Millisecond, time.Minute)
	l.IdleTimeout = m.Duration("idleTimeout", l.IdleTimeout, 100*time.Millisecond, maxLag)
}

func (u *Usage) read(m *strict.Map) {
	u.Window = m.Duration("window", u.Window, time.Second, maxTime)
}

// bodySize is a number of bytes.
type bodySize int64

// sizeUnits are the accepted units with their number of bytes, the longest first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

const maxBodySize = 64 << 20

// UnmarshalText reads the text form.
func (s *bodySize) UnmarshalText(b []byte) error {
	for _, u := range sizeUnits {
		n, ok := bytes.CutSuffix(b, []byte(u.name))
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(string(n), 10, 64)
		if err != nil || v < 1 || v > maxBodySize/u.bytes {
			return fmt.Errorf("%q is out of range", b)
		}
		*s = bodySize(v * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit", b)
}

// Accepted describes the text form.
func (s *bodySize) Accepted() string { return `a size from 1B to 64MiB with a unit (B, KiB, MiB)` }
