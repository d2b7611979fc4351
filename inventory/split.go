package inventory

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

// PartKind is the kind of what a part holds.
type PartKind string

// The kinds of parts.
const (
	PartFleet      PartKind = "fleet"
	PartEngines    PartKind = "engines"
	PartServices   PartKind = "services"
	PartWorkspaces PartKind = "workspaces"
	PartRules      PartKind = "rules"
	PartStates     PartKind = "states"
)

const (
	// targetPartBytes is the mean size of a shard. An edit sends the shards that it
	// touches to every daemon: 2,800 edits a day of one 48 KB shard are 1.6 KB/s.
	targetPartBytes = 48 << 10
	// maxPartBytes leaves room for the frame of a part below the store's bound.
	maxPartBytes = lagoonhead.MaxValueBytes - 4<<10
	maxShards    = 1024
)

// partBody is the stored form of a part.
type partBody struct {
	Nonce string    `json:"nonce"`
	Items Inventory `json:"items"`
}

// fleet is what the part of kind PartFleet holds.
type fleet struct {
	FailureDomains []FailureDomain `json:"failureDomains,omitempty"`
	Models         []Model         `json:"models,omitempty"`
	Planner        Planner         `json:"planner"`
}

// item is one encoded element of a list and the identifier that it is sharded by.
type item struct {
	id   string
	body json.RawMessage
}

// Split cuts a valid inventory into parts below the store's size limit and returns
// them with the manifest of the revision after prev; prev is nil for the first one.
// Parts with the content of a part of prev keep its name and are not returned. The
// nonce identifies the commit and must be unique. An error of KindExhausted means
// that one element is too large for a part.
func Split(inv *Inventory, prev *Manifest, writer, nonce string) (*Manifest, []Part, error) {
	s := splitter{nonce: nonce, kept: make(map[string]PartRef)}
	s.manifest = &Manifest{Format: manifestFormat, Revision: 1, Writer: writer, Nonce: nonce}
	if prev != nil {
		s.manifest.Revision = prev.Revision + 1
		for _, p := range prev.Parts {
			s.kept[p.Content] = p
		}
	}
	if err := s.inventory(inv.Normalize()); err != nil {
		return nil, nil, err
	}
	s.manifest.succeed(prev)
	return s.manifest, s.parts, nil
}

type splitter struct {
	nonce    string
	kept     map[string]PartRef
	manifest *Manifest
	parts    []Part
}

func (s *splitter) inventory(inv *Inventory) error {
	fleet, err := json.Marshal(fleet{inv.FailureDomains, inv.Models, inv.Planner})
	if err != nil {
		return splitError(lagoonhead.KindInternal, err)
	}
	rules, err := encodeItems(inv.Rules, func(r Rule) string { return r.Name })
	if err != nil {
		return err
	}
	if err := s.part(PartFleet, 0, fleet); err != nil {
		return err
	}
	if err := shard(s, PartEngines, inv.Engines, func(e Engine) string { return string(e.ID) }); err != nil {
		return err
	}
	if err := shard(s, PartServices, inv.Services, func(v Service) string { return v.ID }); err != nil {
		return err
	}
	if err := shard(s, PartWorkspaces, inv.Workspaces, func(w Workspace) string { return string(w.ID) }); err != nil {
		return err
	}
	if err := s.inOrder(PartRules, "rules", rules); err != nil {
		return err
	}
	return shard(s, PartStates, inv.EndpointStates, func(e EndpointState) string { return string(e.Endpoint) })
}

func splitError(k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "inventory.split", Kind: k, Err: err}}
}

func encodeItems[T any](list []T, id func(T) string) ([]item, error) {
	out := make([]item, len(list))
	for i, v := range list {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, splitError(lagoonhead.KindInternal, err)
		}
		out[i] = item{id: id(v), body: b}
	}
	return out, nil
}

// listNames are the names under which the lists of each kind are stored.
var listNames = map[PartKind]string{
	PartEngines: "engines", PartServices: "services", PartWorkspaces: "workspaces", PartStates: "endpointStates",
}

// shard spreads a list by the hash of the identifiers, so that an edit of one
// element changes one part. The number of shards is a power of two that depends
// on the total size only.
func shard[T any](s *splitter, k PartKind, list []T, id func(T) string) error {
	items, err := encodeItems(list, id)
	if err != nil {
		return err
	}
	total := 0
	for _, it := range items {
		total += len(it.body)
	}
	n := 1
	for n < maxShards && total/n > targetPartBytes {
		n *= 2
	}
	shards := make([][]item, n)
	for _, it := range items {
		i := xxhash.Sum64String(it.id) % uint64(n)
		shards[i] = append(shards[i], it)
	}
	for i, group := range shards {
		if len(group) == 0 {
			continue
		}
		if err := s.list(k, i, listNames[k], group); err != nil {
			return err
		}
	}
	return nil
}

// inOrder cuts a list whose order counts into parts of about the target size.
func (s *splitter) inOrder(k PartKind, name string, items []item) error {
	for part := 0; len(items) > 0; part++ {
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+len(items[n].body) <= targetPartBytes) {
			size += len(items[n].body)
			n++
		}
		if err := s.list(k, part, name, items[:n]); err != nil {
			return err
		}
		items = items[n:]
	}
	return nil
}

func (s *splitter) list(k PartKind, shard int, name string, items []item) error {
	bodies := make([]json.RawMessage, len(items))
	for i, it := range items {
		bodies[i] = it.body
	}
	b, err := json.Marshal(map[string][]json.RawMessage{name: bodies})
	if err != nil {
		return splitError(lagoonhead.KindInternal, err)
	}
	return s.part(k, shard, b)
}

// part adds one part to the manifest, and its body unless prev has the content.
func (s *splitter) part(k PartKind, shard int, items json.RawMessage) error {
	if len(items) > maxPartBytes {
		return splitError(lagoonhead.KindExhausted,
			fmt.Errorf("a part of kind %s has %d bytes, more than %d", k, len(items), maxPartBytes))
	}
	content := hashOf(append([]byte(k+"\n"), items...))
	if old, ok := s.kept[content]; ok {
		old.Shard = shard
		s.manifest.Parts = append(s.manifest.Parts, old)
		return nil
	}
	body, err := json.Marshal(struct {
		Nonce string          `json:"nonce"`
		Items json.RawMessage `json:"items"`
	}{s.nonce, items})
	if err != nil {
		return splitError(lagoonhead.KindInternal, err)
	}
	ref := PartRef{Kind: k, Shard: shard, Hash: hashOf(body), Content: content}
	s.manifest.Parts = append(s.manifest.Parts, ref)
	s.parts = append(s.parts, Part{Hash: ref.Hash, Body: body})
	return nil
}

// Join puts the parts of a manifest together. The bodies are found by name. The
// result is normalized. An error of KindNotFound names a missing part, one of
// KindInvalid a part whose body does not have its hash or form.
func Join(m *Manifest, body func(hash string) ([]byte, bool)) (*Inventory, error) {
	return new(Joiner).Join(m, body)
}

// Joiner joins successive revisions and decodes each part once only. Its zero
// value is ready to use. The inventories that it returns share memory: use Clone
// before a change. It is not safe for concurrent use.
type Joiner struct{ decoded map[string]*Inventory }

// Join is like the function Join. Parts that the manifest does not name are
// forgotten.
func (j *Joiner) Join(m *Manifest, body func(hash string) ([]byte, bool)) (*Inventory, error) {
	out := &Inventory{}
	decoded := make(map[string]*Inventory, len(m.Parts))
	for _, ref := range m.Parts {
		p, ok := j.decoded[ref.Hash]
		if !ok {
			var err error
			if p, err = decodePart(ref, body); err != nil {
				return nil, err
			}
		}
		decoded[ref.Hash] = p
		out.merge(ref.Kind, p)
	}
	j.decoded = decoded
	return out.Normalize(), nil
}

func decodePart(ref PartRef, body func(hash string) ([]byte, bool)) (*Inventory, error) {
	b, ok := body(ref.Hash)
	if !ok {
		return nil, joinError(lagoonhead.KindNotFound, ref, errors.New("the part is missing"))
	}
	if hashOf(b) != ref.Hash {
		return nil, joinError(lagoonhead.KindInvalid, ref, errors.New("the body has another hash"))
	}
	var p partBody
	if err := decodeStrict(b, &p); err != nil {
		return nil, joinError(lagoonhead.KindInvalid, ref, err)
	}
	return &p.Items, nil
}

func joinError(k lagoonhead.Kind, ref PartRef, err error) error {
	return &Error{lagoonhead.Fault{
		Op: "inventory.join", Kind: k, Err: fmt.Errorf("%s %d (%s): %w", ref.Kind, ref.Shard, ref.Hash, err),
	}}
}

func (inv *Inventory) merge(k PartKind, p *Inventory) {
	if k == PartFleet {
		inv.FailureDomains, inv.Models, inv.Planner = p.FailureDomains, p.Models, p.Planner
	}
	inv.Engines = append(inv.Engines, p.Engines...)
	inv.Services = append(inv.Services, p.Services...)
	inv.Workspaces = append(inv.Workspaces, p.Workspaces...)
	inv.Rules = append(inv.Rules, p.Rules...)
	inv.EndpointStates = append(inv.EndpointStates, p.EndpointStates...)
}
