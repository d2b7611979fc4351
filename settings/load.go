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

// maxBytes is the maximum size of a settings file.
const maxBytes = 64 << 10

// Load reads, parses and checks a settings file. It returns an error of KindNotFound
// when the file cannot be read, and otherwise the error of Parse.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{lagoonhead.Fault{Op: "settings.load", Kind: lagoonhead.KindNotFound, Err: err}}
	}
	return Parse(file, text)
}

// Parse parses and checks the text of a settings file. The file name is used in
// messages only. The error is of KindInvalid and lists every fault.
func Parse(file string, text []byte) (Settings, error) {
	const op = "settings.parse"
	m, err := strict.Open(file, text, maxBytes)
	if err != nil {
		return Settings{}, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: errors.Unwrap(err)}}
	}
	s := readSettings(m)
	if err := m.Err(op); err != nil {
		return Settings{}, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: errors.Unwrap(err)}}
	}
	return s, nil
}

// readSettings reads and checks a document. Faults are added to those of m.
func readSettings(m *strict.Map) Settings {
	s := Default()
	readSection(m, "vm", s.VM.read)
	readSection(m, "listen", s.Listen.read)
	readSection(m, "platform", s.Platform.read)
	readSection(m, "peer", s.Peer.read)
	readSection(m, "operator", s.Operator.read)
	readSection(m, "resume", s.Resume.read)
	readSection(m, "trace", s.Trace.read)
	readSection(m, "log", s.Log.read)
	readSection(m, "drain", s.Drain.read)
	readSection(m, "limits", s.Limits.read)
	readSection(m, "usage", s.Usage.read)
	m.ReportUnknown()
	s.reportFaults(m)
	return s
}

// reportFaults reports missing fields and contradictions between fields with their
// positions in the document. It skips fields that already have a fault.
func (s Settings) reportFaults(m *strict.Map) {
	for _, f := range s.faults() {
		n := m.Map(f.section)
		if !n.Failed(f.field) {
			n.Fail(f.field, f.message, f.accepted)
		}
	}
}

// readSection reads a section if it is present, and reports its unknown fields.
func readSection(m *strict.Map, name string, readFields func(*strict.Map)) {
	n := m.Map(name)
	if m.Has(name) {
		readFields(n)
		n.ReportUnknown()
	}
}

func (v *VM) read(m *strict.Map) {
	v.ID = lagoonhead.VMID(m.Identifier("id"))
	v.FailureDomain = lagoonhead.FailureDomain(m.Identifier("failureDomain"))
	v.Region = lagoonhead.Region(m.Identifier("region"))
}

const acceptedAddress = `an IP number and a port, for example "10.0.0.7:8080"`

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

// baseURL returns the URL in a field. It reports a URL that has more or less than the
// scheme http or https, an IP address and a port.
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

// ratio is a fraction from 0 to 1, written as a percentage.
type ratio float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *ratio) UnmarshalText(b []byte) error {
	n, ok := bytes.CutSuffix(b, []byte("%"))
	v, err := strconv.ParseFloat(string(n), 64)
	if !ok || err != nil || !(v >= 0 && v <= 100) {
		return fmt.Errorf("%q is not a percentage", b)
	}
	*r = ratio(v / 100)
	return nil
}

// Accepted implements strict.Value.
func (r *ratio) Accepted() string { return `a percentage from 0% to 100%, for example "1%"` }

func (l *Log) read(m *strict.Map) {
	l.Level = m.OneOf("level", l.Level, "debug", "info", "warn", "error")
}

// Upper bounds of times.
const (
	maxShortTime = 10 * time.Minute // of Drain.Delay, Limits.MaxWait and Limits.IdleTimeout
	maxLongTime  = 24 * time.Hour   // of Drain.InFlightTimeout and Usage.Window
)

func (d *Drain) read(m *strict.Map) {
	d.Delay = m.Duration("lag", d.Delay, 0, maxShortTime)
	d.InFlightTimeout = m.Duration("max", d.InFlightTimeout, time.Second, maxLongTime)
}

func (l *Limits) read(m *strict.Map) {
	size := bodySize(l.MaxBodyBytes)
	m.Value("maxBody", &size)
	l.MaxBodyBytes = int64(size)
	memory := memorySize(l.MemoryBytes)
	m.Value("memory", &memory)
	l.MemoryBytes = int64(memory)
	l.MaxWait = m.Duration("maxWait", l.MaxWait, 0, maxShortTime)
	l.MaxInFlight = int(m.Int("maxInFlight", int64(l.MaxInFlight), 1, 1_000_000))
	l.HeaderTimeout = m.Duration("headerTimeout", l.HeaderTimeout, 100*time.Millisecond, time.Minute)
	l.IdleTimeout = m.Duration("idleTimeout", l.IdleTimeout, 100*time.Millisecond, maxShortTime)
}

func (u *Usage) read(m *strict.Map) {
	u.Window = m.Duration("window", u.Window, time.Second, maxLongTime)
}

// bodySize is a size in bytes, written with one of sizeUnits.
type bodySize int64

// sizeUnits are the accepted units and their sizes in bytes. "B" is last, since the
// other units end with it too.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// maxBodyBytes is the upper bound of Limits.MaxBodyBytes.
const maxBodyBytes = 64 << 20

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *bodySize) UnmarshalText(b []byte) error {
	n, err := parseSize(b, 1, maxBodyBytes)
	*s = bodySize(n)
	return err
}

// parseSize parses a size with a unit.
func parseSize(b []byte, least, most int64) (int64, error) {
	for _, u := range sizeUnits {
		n, ok := bytes.CutSuffix(b, []byte(u.name))
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(string(n), 10, 64)
		if err != nil || v < 1 || v > most/u.bytes || v*u.bytes < least {
			return 0, fmt.Errorf("%q is out of range", b)
		}
		return v * u.bytes, nil
	}
	return 0, fmt.Errorf("%q is not a size with a unit", b)
}

// Accepted implements strict.Value.
func (s *bodySize) Accepted() string { return `a size from 1B to 64MiB with a unit (B, KiB, MiB)` }

// memorySize is the memory of a process in bytes, written with one of sizeUnits.
type memorySize int64

// minMemoryBytes and maxMemoryBytes are the bounds of Limits.MemoryBytes. Below the former a daemon does
// not run.
const minMemoryBytes, maxMemoryBytes = 64 << 20, 1 << 40

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *memorySize) UnmarshalText(b []byte) error {
	n, err := parseSize(b, minMemoryBytes, maxMemoryBytes)
	*s = memorySize(n)
	return err
}

// Accepted implements strict.Value.
func (s *memorySize) Accepted() string {
	return `a size from 64MiB to 1024GiB with a unit (B, KiB, MiB, GiB)`
}
