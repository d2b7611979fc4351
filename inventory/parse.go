package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/strict"
)

// MaxBytes is the size in bytes of the largest inventory text that Parse accepts.
// An inventory of 6,400 workspaces with three keys each and 2,500 engines has 3.7 MB.
const MaxBytes = 12 << 20

// Upper bounds and defaults of the fields.
const (
	maxSlots          = 100_000 // per endpoint
	maxWeight         = 1000
	maxBoundEndpoints = 10_000
	defaultInterval   = Duration(30 * time.Second)
)

// Parse parses and checks the YAML text of an inventory. The file name is used in
// messages only. The error is of KindInvalid and lists every fault in line order.
func Parse(file string, text []byte) (*Inventory, error) {
	const op = "inventory.parse"
	m, err := strict.Open(file, text, MaxBytes)
	if err != nil {
		return nil, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: errors.Unwrap(err)}}
	}
	inv := newParser().inventory(m)
	if err := m.Err(op); err != nil {
		return nil, &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: errors.Unwrap(err)}}
	}
	return inv, nil
}

// Format returns the YAML text of the inventory. Parse turns the text of a valid
// inventory into an equal inventory.
func Format(inv *Inventory) ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(inv); err != nil {
		return nil, &Error{lagoonhead.Fault{Op: "inventory.format", Kind: lagoonhead.KindInternal, Err: err}}
	}
	if err := e.Close(); err != nil {
		return nil, &Error{lagoonhead.Fault{Op: "inventory.format", Kind: lagoonhead.KindInternal, Err: err}}
	}
	return b.Bytes(), nil
}

// Validate checks an inventory that was not read by Parse. The line numbers in its
// error refer to the text that Format returns.
func Validate(inv *Inventory) error {
	text, err := Format(inv)
	if err != nil {
		return err
	}
	_, err = Parse("inventory", text)
	return err
}

// names holds the values of one kind, which must be unique, and the line of each.
type names struct {
	lines map[string]int // by value
	list  []string       // in order of definition
}

// add records the value of a field of m, or reports it as a duplicate.
func (n *names) add(m *strict.Map, field, value string) {
	if value == "" {
		return
	}
	if n.lines == nil {
		n.lines = make(map[string]int)
	}
	if line, ok := n.lines[value]; ok {
		m.Fail(field, fmt.Sprintf("duplicate %q; the first is in line %d", value, line), "a value used once")
		return
	}
	n.lines[value] = m.Line(field)
	n.list = append(n.list, value)
}

func (n *names) has(value string) bool { _, ok := n.lines[value]; return ok }

// checkReference reports a value that is not defined. An empty value is ignored,
// since it has been reported as missing or malformed.
func (n *names) checkReference(m *strict.Map, field, value string) {
	if value != "" && !n.has(value) {
		m.Fail(field, strconv.Quote(value)+" is not defined", strict.JoinAccepted(n.list))
	}
}

// parser collects the names that are defined in an inventory, to find duplicates and
// undefined references. A section is parsed after those that it refers to.
type parser struct {
	domains    names
	serves     names // models and services, which share one name space
	endpoints  names
	engines    map[lagoonhead.EndpointID]bool // those of the endpoints that are engines
	addresses  names
	workspaces names
	keys       names
	hashes     names // of the keys, in hexadecimal
	rules      names
	states     names // endpoints that have an EndpointState
	bounds     names // failure domain, model or service, and supply of each Bound
}

func newParser() *parser { return &parser{engines: make(map[lagoonhead.EndpointID]bool)} }

func (p *parser) inventory(m *strict.Map) *Inventory {
	inv := &Inventory{
		FailureDomains: parseList(m, "failureDomains", p.failureDomain),
		Models:         parseList(m, "models", p.model),
		Engines:        parseList(m, "engines", p.engine),
		Services:       parseList(m, "services", p.service),
		Workspaces:     parseList(m, "workspaces", p.workspace),
		Rules:          parseList(m, "rules", p.rule),
		EndpointStates: parseList(m, "endpointStates", p.endpointState),
		Planner:        p.planner(m.Map("planner")),
	}
	m.ReportUnknown()
	return inv
}

// parseList parses the mappings of a list with parseItem and reports their unknown
// fields.
func parseList[T any](m *strict.Map, name string, parseItem func(*strict.Map) T) []T {
	items := m.Maps(name)
	if len(items) == 0 {
		return nil
	}
	out := make([]T, len(items))
	for i, item := range items {
		out[i] = parseItem(item)
		item.ReportUnknown()
	}
	return out
}

func (p *parser) failureDomain(m *strict.Map) FailureDomain {
	d := FailureDomain{
		ID:     lagoonhead.FailureDomain(m.Identifier("id")),
		Region: lagoonhead.Region(m.Identifier("region")),
	}
	m.Require("id", "region")
	p.domains.add(m, "id", string(d.ID))
	return d
}

func (p *parser) model(m *strict.Map) Model {
	o := Model{ID: m.Identifier("id")}
	m.Require("id")
	p.serves.add(m, "id", o.ID)
	return o
}

func (p *parser) engine(m *strict.Map) Engine {
	e := Engine{
		ID:               lagoonhead.EndpointID(m.Identifier("id")),
		Model:            m.Identifier("model"),
		Address:          p.address(m, "address"),
		FailureDomain:    lagoonhead.FailureDomain(m.Identifier("failureDomain")),
		Role:             role(m, string(lagoonhead.RoleMixed)),
		Supply:           supply(m),
		Slots:            int(m.Int("slots", 1, 1, maxSlots)),
		Fenced:           m.Bool("fenced", false),
		OrderedByPlanner: m.Bool("ordered", false),
	}
	m.Value("price", &e.Price)
	m.Value("prefillRate", &e.PrefillRate)
	m.Value("decodeRate", &e.DecodeRate)
	m.Require("id", "model", "address", "failureDomain", "slots", "price")
	p.serves.checkReference(m, "model", e.Model)
	p.domains.checkReference(m, "failureDomain", string(e.FailureDomain))
	p.endpoints.add(m, "id", string(e.ID))
	p.engines[e.ID] = true
	return e
}

func role(m *strict.Map, def string) lagoonhead.Role {
	return lagoonhead.Role(m.OneOf("role", def,
		string(lagoonhead.RoleMixed), string(lagoonhead.RolePrefill), string(lagoonhead.RoleDecode)))
}

func supply(m *strict.Map) lagoonhead.Supply {
	return lagoonhead.Supply(m.OneOf("supply", string(lagoonhead.SupplyFirm),
		string(lagoonhead.SupplyFirm), string(lagoonhead.SupplyReclaimable)))
}

// address parses a base URL. Endpoints are reached by IP address without DNS, so a
// host name is rejected.
func (p *parser) address(m *strict.Map, field string) string {
	const accepted = `a URL with an IP number and a port, for example "http://10.0.0.7:9000"`
	s := m.Text(field, "")
	if s == "" {
		if m.Has(field) {
			m.Fail(field, "the address is empty or invalid", accepted)
		}
		return ""
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || s != u.Scheme+"://"+u.Host {
		m.Fail(field, strconv.Quote(s)+" is not a base URL", accepted)
		return ""
	}
	a, err := netip.ParseAddrPort(u.Host)
	if err != nil || a.Port() == 0 {
		m.Fail(field, strconv.Quote(s)+" has no IP number and port", accepted)
		return ""
	}
	p.addresses.add(m, field, s)
	return s
}

func (p *parser) service(m *strict.Map) Service {
	routes := &names{}
	s := Service{ID: m.Identifier("id")}
	s.Routes = parseList(m, "routes", func(m *strict.Map) Route { return p.route(m, routes) })
	s.Endpoints = parseList(m, "endpoints", p.serviceEndpoint)
	m.Require("id", "routes")
	p.serves.add(m, "id", s.ID)
	return s
}

// routeMethods are the HTTP methods that a route can have.
var routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (p *parser) route(m *strict.Map, seen *names) Route {
	r := Route{
		Method:                 m.OneOf("method", "", routeMethods...),
		Path:                   m.Text("path", ""),
		NoAPIKey:               m.Bool("open", false),
		Idempotent:             m.Bool("idempotent", false),
		IdempotencyKeyRequired: m.Bool("keyRequired", false),
	}
	m.Require("method", "path", "idempotent")
	if !m.Has("path") {
		return r
	}
	pat, err := parsePattern(r.Path)
	if err != nil {
		m.Fail("path", err.Error(), acceptedPattern)
		return r
	}
	if r.Method != "" {
		seen.add(m, "path", r.Method+" "+pat.shape())
	}
	if r.Idempotent && r.IdempotencyKeyRequired {
		m.Fail("keyRequired", "an idempotent route needs no key", "keyRequired: false")
	}
	return r
}

func (p *parser) serviceEndpoint(m *strict.Map) ServiceEndpoint {
	e := ServiceEndpoint{
		ID:            lagoonhead.EndpointID(m.Identifier("id")),
		Address:       p.address(m, "address"),
		FailureDomain: lagoonhead.FailureDomain(m.Identifier("failureDomain")),
		Supply:        supply(m),
		Slots:         int(m.Int("slots", 1, 1, maxSlots)),
	}
	m.Value("price", &e.Price)
	m.Require("id", "address", "failureDomain", "slots", "price")
	p.domains.checkReference(m, "failureDomain", string(e.FailureDomain))
	p.endpoints.add(m, "id", string(e.ID))
	return e
}

func (p *parser) workspace(m *strict.Map) Workspace {
	w := Workspace{
		ID:     lagoonhead.WorkspaceID(m.Identifier("id")),
		Weight: int(m.Int("weight", 1, 1, maxWeight)),
	}
	m.Value("rate", &w.Rate)
	m.Value("burst", &w.Burst)
	w.Keys = parseList(m, "keys", p.key)
	m.Require("id", "rate", "burst")
	p.workspaces.add(m, "id", string(w.ID))
	return w
}

func (p *parser) key(m *strict.Map) Key {
	k := Key{ID: m.Identifier("id"), Label: m.Text("label", "")}
	hashed := m.Value("sha256", &k.SHA256)
	m.Require("id", "sha256")
	p.keys.add(m, "id", k.ID)
	if hashed {
		text, _ := k.SHA256.MarshalText()
		p.hashes.add(m, "sha256", string(text))
	}
	return k
}

func (p *parser) rule(m *strict.Map) Rule {
	r := Rule{
		Name: m.Text("name", ""),
		Priority: m.OneOf("priority", lagoonhead.PriorityNormal.String(), lagoonhead.PriorityInteractive.String(),
			lagoonhead.PriorityNormal.String(), lagoonhead.PriorityDeferrable.String()),
	}
	m.Value("deadline", &r.Deadline)
	m.Value("costCeiling", &r.CostCeiling)
	m.Require("name")
	if m.Has("name") && !m.Failed("name") && (r.Name == "" || r.Name == DefaultRule) {
		m.Fail("name", strconv.Quote(r.Name)+" cannot name a rule", "any other text")
	}
	p.rules.add(m, "name", r.Name)
	for _, s := range p.references(m, "workspaces", &p.workspaces) {
		r.Workspaces = append(r.Workspaces, lagoonhead.WorkspaceID(s))
	}
	r.Serves = p.references(m, "serves", &p.serves)
	return r
}

// references parses a list of distinct names that must all be in defined. An empty
// list is a fault, since an absent one matches everything.
func (p *parser) references(m *strict.Map, field string, defined *names) []string {
	var out []string
	seen := make(map[string]bool)
	for _, item := range m.TextItems(field) {
		switch {
		case !defined.has(item.Text):
			item.Fail(strconv.Quote(item.Text)+" is not defined", strict.JoinAccepted(defined.list))
		case seen[item.Text]:
			item.Fail("duplicate "+strconv.Quote(item.Text), "each value once")
		default:
			seen[item.Text] = true
			out = append(out, item.Text)
		}
	}
	if m.Has(field) && len(out) == 0 {
		m.Fail(field, "the list is empty", "at least one value, or no such field for everything")
	}
	return out
}

func (p *parser) endpointState(m *strict.Map) EndpointState {
	s := EndpointState{
		Endpoint: lagoonhead.EndpointID(m.Identifier("endpoint")),
		Leaving:  m.Bool("leaving", false),
		Changing: m.Bool("changing", false),
		Role:     role(m, ""),
	}
	m.Require("endpoint")
	p.endpoints.checkReference(m, "endpoint", string(s.Endpoint))
	p.states.add(m, "endpoint", string(s.Endpoint))
	if s.Role != "" && !p.engines[s.Endpoint] && p.endpoints.has(string(s.Endpoint)) {
		m.Fail("role", "only an engine has a role", "no such field")
	}
	return s
}

func (p *parser) planner(m *strict.Map) Planner {
	c := Planner{
		OrderRoles:     m.Bool("orderRoles", false),
		OrderEndpoints: m.Bool("orderEndpoints", false),
		Interval:       defaultInterval,
	}
	m.Value("interval", &c.Interval)
	c.Bounds = parseList(m, "bounds", p.bound)
	m.ReportUnknown()
	return c
}

func (p *parser) bound(m *strict.Map) Bound {
	b := Bound{
		FailureDomain: lagoonhead.FailureDomain(m.Identifier("failureDomain")),
		Serves:        m.Identifier("serves"),
		Supply:        supply(m),
		Min:           int(m.Int("min", 0, 0, maxBoundEndpoints)),
		Max:           int(m.Int("max", 0, 0, maxBoundEndpoints)),
	}
	m.Require("failureDomain", "serves", "max")
	p.domains.checkReference(m, "failureDomain", string(b.FailureDomain))
	p.serves.checkReference(m, "serves", b.Serves)
	if b.Min > b.Max {
		m.Fail("min", fmt.Sprintf("min %d is above max %d", b.Min, b.Max), "min up to max")
	}
	if b.FailureDomain != "" && b.Serves != "" {
		p.bounds.add(m, "failureDomain", fmt.Sprintf("%s %s %s", b.FailureDomain, b.Serves, b.Supply))
	}
	return b
}
