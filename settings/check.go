package settings

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/lagoonhead/lagoonhead"
)

// fault is a required field that is missing or a field that contradicts another one.
// Such faults are found only after all fields have been read.
type fault struct {
	section, field    string
	message, accepted string
}

// Check returns an error of KindInvalid that lists missing fields and contradictions
// between fields, or nil. It reads no files.
func (s Settings) Check() error {
	faults := s.faults()
	if len(faults) == 0 {
		return nil
	}
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = fmt.Errorf("%s.%s: %s; accepted: %s", f.section, f.field, f.message, f.accepted)
	}
	return &Error{lagoonhead.Fault{Op: "settings.check", Kind: lagoonhead.KindInvalid, Err: errors.Join(errs...)}}
}

// faults returns the missing fields and the contradictions between fields.
func (s Settings) faults() []fault {
	var out []fault
	for _, f := range []struct{ section, field, value string }{
		{"vm", "id", string(s.VM.ID)},
		{"vm", "failureDomain", string(s.VM.FailureDomain)},
		{"vm", "region", string(s.VM.Region)},
		{"platform", "store", s.Platform.Store},
		{"platform", "vms", s.Platform.VMs},
	} {
		if f.value == "" {
			out = append(out, fault{f.section, f.field, "the field is missing", "a value; it has no default"})
		}
	}
	if s.Trace.Exporter == ExportOTLP && s.Trace.Endpoint == "" {
		out = append(out, fault{"trace", "endpoint", "exporter otlp needs an endpoint", "the URL of a collector"})
	}
	out = append(out, s.Listen.faults()...)
	out = append(out, s.Peer.faults("peer", s.Listen.Peer)...)
	return append(out, s.Operator.faults("operator", s.Listen.Operator)...)
}

// faults reports addresses that are not valid or are used twice. Port 0 may be used
// more than once, since the system then chooses the port.
func (l Listen) faults() []fault {
	var out []fault
	seen := make(map[string]string)
	for _, a := range []struct{ field, address string }{
		{"caller", l.Caller}, {"peer", l.Peer}, {"operator", l.Operator},
	} {
		p, err := netip.ParseAddrPort(a.address)
		switch {
		case err != nil:
			out = append(out, fault{"listen", a.field, fmt.Sprintf("%q is not an address", a.address), acceptedAddress})
		case p.Port() != 0 && seen[a.address] != "":
			out = append(out, fault{"listen", a.field, "the address is that of listen." + seen[a.address] + " too",
				"an address for each listener"})
		}
		seen[a.address] = a.field
	}
	return out
}

// faults reports an incomplete set of TLS files, and a listener on a non-loopback
// address that has neither TLS nor both AllowPlainText and a token.
func (s Security) faults(section, address string) []fault {
	var out []fault
	files := []struct{ field, file string }{
		{"certificateFile", s.CertificateFile}, {"keyFile", s.KeyFile}, {"authorityFile", s.AuthorityFile},
	}
	anyTLSFile := s.CertificateFile+s.KeyFile+s.AuthorityFile != ""
	for _, f := range files {
		if anyTLSFile && f.file == "" {
			out = append(out, fault{section, f.field, "the field is missing",
				"certificateFile, keyFile and authorityFile together"})
		}
	}
	a, err := netip.ParseAddrPort(address)
	if anyTLSFile || err != nil || a.Addr().IsLoopback() {
		return out
	}
	if !s.AllowPlainText {
		out = append(out, fault{section, "allowPlainText", address + " is not loopback",
			"TLS files, or allowPlainText: true"})
	}
	if s.TokenFile == "" {
		out = append(out, fault{section, "tokenFile", address + " is not loopback", "TLS files or a tokenFile"})
	}
	return out
}
