package inventory

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// DefaultRule is the name of the rule for requests that no rule matches.
const DefaultRule = "default"

// maxKeyBytes is the length of the longest key that is looked up. Issued keys are shorter.
const maxKeyBytes = 256

// errUnauthenticated is allocated once, so that rejecting a key allocates nothing.
var errUnauthenticated error = &Error{lagoonhead.Fault{
	Op: "inventory.authenticate", Kind: lagoonhead.KindUnauthenticated, Err: errors.New("the key is not known"),
}}

// Directory holds one revision of the inventory, indexed for the lookups of requests.
// It is immutable and safe for concurrent use.
type Directory struct {
	revision   int64
	regions    map[lagoonhead.FailureDomain]lagoonhead.Region
	models     []string
	engines    map[string][]lagoonhead.Endpoint // by model, sorted by identifier
	services   map[string]*compiledService
	engineInfo map[lagoonhead.EndpointID]engineInfo
	workspaces []compiledWorkspace // sorted by identifier
	hashes     []Hash              // of the keys, sorted
	owners     []uint32            // owners[i] is the index in workspaces of the owner of hashes[i]
	rules      []compiledRule      // in the order of the inventory
	planner    Planner
}

// engineInfo holds the properties of an engine that lagoonhead.Endpoint lacks.
type engineInfo struct {
	prefillRate float32 // tokens per second
	decodeRate  float32 // tokens per second
	changing    bool
}

type compiledWorkspace struct {
	id     lagoonhead.WorkspaceID
	rate   float64 // tokens per second
	burst  int64   // tokens
	weight int32
}

type compiledService struct {
	endpoints []lagoonhead.Endpoint      // sorted by identifier
	routes    map[string][]compiledRoute // by method, the most specific pattern first
}

type compiledRoute struct {
	pattern pattern
	route   lagoonhead.Route
}

type compiledRule struct {
	workspaces map[lagoonhead.WorkspaceID]struct{} // nil matches every workspace
	serves     []string                            // empty matches every model and service
	rule       lagoonhead.WorkRule
}

var _ lagoonhead.Directory = (*Directory)(nil)

// Compile returns the Directory of an inventory that Parse or Join returned.
func Compile(inv *Inventory, revision int64) *Directory {
	d := &Directory{
		revision:   revision,
		regions:    make(map[lagoonhead.FailureDomain]lagoonhead.Region, len(inv.FailureDomains)),
		engines:    make(map[string][]lagoonhead.Endpoint),
		services:   make(map[string]*compiledService, len(inv.Services)),
		engineInfo: make(map[lagoonhead.EndpointID]engineInfo),
		planner:    inv.Planner,
	}
	for _, f := range inv.FailureDomains {
		d.regions[f.ID] = f.Region
	}
	for _, m := range inv.Models {
		d.models = append(d.models, m.ID)
	}
	slices.Sort(d.models)
	states := make(map[lagoonhead.EndpointID]EndpointState, len(inv.EndpointStates))
	for _, s := range inv.EndpointStates {
		states[s.Endpoint] = s
	}
	d.compileEngines(inv.Engines, states)
	for i := range inv.Services {
		d.compileService(&inv.Services[i], states)
	}
	d.compileWorkspaces(inv.Workspaces)
	d.compileRules(inv.Rules)
	return d
}

func (d *Directory) compileEngines(engines []Engine, states map[lagoonhead.EndpointID]EndpointState) {
	for i := range engines {
		e := &engines[i]
		role := e.Role
		if s := states[e.ID]; s.Role != "" {
			role = s.Role
		}
		p := lagoonhead.NewEndpoint(e.ID, lagoonhead.EndpointKindEngine, e.Model, e.Address, e.FailureDomain).
			WithRole(role).WithSupply(e.Supply).WithSlots(e.Slots).WithFenced(e.Fenced).
			WithPrice(float64(e.Price)).WithLeaving(states[e.ID].outOfService())
		d.engines[e.Model] = append(d.engines[e.Model], p)
		d.engineInfo[e.ID] = engineInfo{
			prefillRate: float32(e.PrefillRate), decodeRate: float32(e.DecodeRate), changing: states[e.ID].Changing,
		}
	}
	for _, l := range d.engines {
		sortEndpoints(l)
	}
}

// outOfService reports whether the endpoint must get no new requests.
func (s EndpointState) outOfService() bool { return s.Leaving || s.Changing }

func sortEndpoints(l []lagoonhead.Endpoint) {
	slices.SortFunc(l, func(a, b lagoonhead.Endpoint) int { return strings.Compare(string(a.ID()), string(b.ID())) })
}

func (d *Directory) compileService(s *Service, states map[lagoonhead.EndpointID]EndpointState) {
	c := &compiledService{routes: make(map[string][]compiledRoute)}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		c.endpoints = append(c.endpoints,
			lagoonhead.NewEndpoint(e.ID, lagoonhead.EndpointKindService, s.ID, e.Address, e.FailureDomain).
				WithSupply(e.Supply).WithSlots(e.Slots).WithPrice(float64(e.Price)).
				WithLeaving(states[e.ID].outOfService()))
	}
	sortEndpoints(c.endpoints)
	for _, r := range s.Routes {
		p, err := parsePattern(r.Path)
		if err != nil {
			continue
		}
		c.routes[r.Method] = append(c.routes[r.Method], compiledRoute{pattern: p, route: lagoonhead.Route{
			NoAPIKey: r.NoAPIKey, Idempotent: r.Idempotent, IdempotencyKeyRequired: r.IdempotencyKeyRequired,
		}})
	}
	for _, l := range c.routes {
		sortPatterns(l, func(r compiledRoute) pattern { return r.pattern })
	}
	d.services[s.ID] = c
}

func (d *Directory) compileWorkspaces(workspaces []Workspace) {
	keys := 0
	d.workspaces = make([]compiledWorkspace, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		d.workspaces[i] = compiledWorkspace{
			id: w.ID, rate: float64(w.Rate), burst: int64(w.Burst), weight: int32(w.Weight),
		}
		keys += len(w.Keys)
	}
	slices.SortFunc(d.workspaces, func(a, b compiledWorkspace) int {
		return strings.Compare(string(a.id), string(b.id))
	})
	d.hashes = make([]Hash, 0, keys)
	d.owners = make([]uint32, 0, keys)
	for i := range workspaces {
		owner, _ := d.findWorkspace(workspaces[i].ID)
		for _, k := range workspaces[i].Keys {
			d.hashes = append(d.hashes, k.SHA256)
			d.owners = append(d.owners, uint32(owner))
		}
	}
	sort.Sort((*byHash)(d))
}

// byHash implements sort.Interface for the key hashes of a Directory and keeps their
// owners aligned with them.
type byHash Directory

func (b *byHash) Len() int           { return len(b.hashes) }
func (b *byHash) Less(i, j int) bool { return bytes.Compare(b.hashes[i][:], b.hashes[j][:]) < 0 }
func (b *byHash) Swap(i, j int) {
	b.hashes[i], b.hashes[j] = b.hashes[j], b.hashes[i]
	b.owners[i], b.owners[j] = b.owners[j], b.owners[i]
}

func (d *Directory) compileRules(rules []Rule) {
	for i := range rules {
		r := &rules[i]
		p, _ := lagoonhead.ParsePriority(r.Priority)
		c := compiledRule{serves: r.Serves, rule: lagoonhead.WorkRule{
			Name: r.Name, Priority: p, Deadline: time.Duration(r.Deadline), CostCeiling: float64(r.CostCeiling),
		}}
		if len(r.Workspaces) > 0 {
			c.workspaces = make(map[lagoonhead.WorkspaceID]struct{}, len(r.Workspaces))
		}
		for _, w := range r.Workspaces {
			c.workspaces[w] = struct{}{}
		}
		d.rules = append(d.rules, c)
	}
}

func (d *Directory) findWorkspace(w lagoonhead.WorkspaceID) (int, bool) {
	return slices.BinarySearchFunc(d.workspaces, w, func(c compiledWorkspace, w lagoonhead.WorkspaceID) int {
		return strings.Compare(string(c.id), string(w))
	})
}

// Revision returns the configuration revision.
func (d *Directory) Revision() int64 { return d.revision }

// Authenticate returns the workspace that an API key belongs to, or an error of
// KindUnauthenticated. It allocates nothing.
func (d *Directory) Authenticate(key string) (lagoonhead.WorkspaceID, error) {
	if key == "" || len(key) > maxKeyBytes {
		return "", errUnauthenticated
	}
	var text [maxKeyBytes]byte
	h := sha256.Sum256(text[:copy(text[:], key)])
	i, ok := slices.BinarySearchFunc(d.hashes, h, func(a Hash, b [32]byte) int { return bytes.Compare(a[:], b[:]) })
	if !ok {
		return "", errUnauthenticated
	}
	return d.workspaces[d.owners[i]].id, nil
}

// Models returns the names of the models, sorted. The caller must not change the
// slice.
func (d *Directory) Models() []string { return d.models }

// Endpoints returns the endpoints of a kind that serve a model or a service, sorted
// by identifier, including those that are leaving. The role of an engine is the
// desired role if its EndpointState has one. The caller must not change the slice.
func (d *Directory) Endpoints(k lagoonhead.EndpointKind, serves string) []lagoonhead.Endpoint {
	if k == lagoonhead.EndpointKindEngine {
		return d.engines[serves]
	}
	if s := d.services[serves]; s != nil {
		return s.endpoints
	}
	return nil
}

// ServiceRoute returns the most specific route that matches a service call. The path
// is the one that is sent to the endpoint; a path with empty, "." or ".." segments
// matches no route.
func (d *Directory) ServiceRoute(service, method, path string) (lagoonhead.Route, bool) {
	s := d.services[service]
	if s == nil {
		return lagoonhead.Route{}, false
	}
	for _, r := range s.routes[method] {
		if r.pattern.matches(path) {
			return r.route, true
		}
	}
	return lagoonhead.Route{}, false
}

// Rule returns the first rule that matches requests of a workspace for a model or a
// service, or the default rule, which has normal priority.
func (d *Directory) Rule(w lagoonhead.WorkspaceID, serves string) lagoonhead.WorkRule {
	for i := range d.rules {
		r := &d.rules[i]
		if len(r.serves) > 0 && !slices.Contains(r.serves, serves) {
			continue
		}
		if _, ok := r.workspaces[w]; ok || r.workspaces == nil {
			return r.rule
		}
	}
	return lagoonhead.WorkRule{Name: DefaultRule, Priority: lagoonhead.PriorityNormal}
}

// Quota returns the rate and burst of a workspace.
func (d *Directory) Quota(w lagoonhead.WorkspaceID) (lagoonhead.Quota, bool) {
	i, ok := d.findWorkspace(w)
	if !ok {
		return lagoonhead.Quota{}, false
	}
	return lagoonhead.Quota{Rate: d.workspaces[i].rate, Burst: d.workspaces[i].burst}, true
}

// Weight returns the weight of a workspace in the fair queue, or 0 when the
// workspace is unknown.
func (d *Directory) Weight(w lagoonhead.WorkspaceID) int {
	if i, ok := d.findWorkspace(w); ok {
		return int(d.workspaces[i].weight)
	}
	return 0
}

// Workspaces returns the identifiers of the workspaces, sorted.
func (d *Directory) Workspaces() []lagoonhead.WorkspaceID {
	out := make([]lagoonhead.WorkspaceID, len(d.workspaces))
	for i := range d.workspaces {
		out[i] = d.workspaces[i].id
	}
	return out
}

// Services returns the names of the services, sorted.
func (d *Directory) Services() []string {
	out := make([]string, 0, len(d.services))
	for s := range d.services {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Region returns the region of a failure domain, or "" when the domain is unknown.
func (d *Directory) Region(f lagoonhead.FailureDomain) lagoonhead.Region { return d.regions[f] }

// Changing reports whether an engine is marked because the planner is changing its
// role. Endpoints returns such an engine as leaving.
func (d *Directory) Changing(e lagoonhead.EndpointID) bool { return d.engineInfo[e].changing }

// TokenRates returns the prefill and decode rates of an engine in tokens per second; 0
// means that a rate is not known.
func (d *Directory) TokenRates(e lagoonhead.EndpointID) (prefill, decode float64) {
	info := d.engineInfo[e]
	return float64(info.prefillRate), float64(info.decodeRate)
}

// Planner returns the limits of the planner. The caller must not change its Bounds.
func (d *Directory) Planner() Planner { return d.planner }
