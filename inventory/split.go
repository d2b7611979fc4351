package inventory

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

// PartKind says which lists of an inventory a part holds.
type PartKind string

// The kinds of parts.
const (
	PartFleet          PartKind = "fleet" // failure domains, models and limits of the planner
	PartEngines        PartKind = "engines"
	PartServices       PartKind = "services"
	PartWorkspaces     PartKind = "workspaces"
	PartRules          PartKind = "rules"
	PartEndpointStates PartKind = "states" // endpoint states
)

const (
	// targetPartBytes is the maximum mean size of the shards of a list. An edit sends
	// the shards that it changes to every daemon: 2,800 edits a day of one 48 KB shard
	// are 1.6 KB/s.
	targetPartBytes = 48 << 10
	// maxPartBytes is the maximum size of the items of a part. It leaves 4 KiB below
	// the store's limit for the nonce and the JSON around the items.
	maxPartBytes = lagoonhead.MaxValueBytes - 4<<10
	// maxShards is the maximum number of shards of a list.
	maxShards = 1024
)

// partBody is the stored JSON of a part.
type partBody struct {
	// Nonce is that of the commit that wrote the part; it makes the hash of the body
	// unique to this commit.
	Nonce string `json:"nonce"`
	// Items has only the fields that belong to the part's kind.
	Items Inventory `json:"items"`
}

// fleetItems are the items of the part of kind PartFleet.
type fleetItems struct {
	FailureDomains []FailureDomain `json:"failureDomains,omitempty"`
	Models         []Model         `json:"models,omitempty"`
	Planner        Planner         `json:"planner"`
}

// item is one encoded element of a list and the identifier whose hash selects its
// shard.
type item struct {
	id   string
	body json.RawMessage
}

// Split divides a valid inventory into parts below the store's size limit. It returns
// the manifest of the revision after prev and the parts to write; prev is nil for the
// first revision. A part whose content equals that of a part of prev is listed under
// the existing hash and not returned. writer is the VM whose daemon commits. The nonce
// identifies the commit and must be unique. An error of KindExhausted means that a
// part exceeds the limit.
func Split(inv *Inventory, prev *Manifest, writer, nonce string) (*Manifest, []Part, error) {
	s := splitter{nonce: nonce, previous: make(map[string]PartRef)}
	s.manifest = &Manifest{Format: manifestFormat, Revision: 1, Writer: writer, Nonce: nonce}
	if prev != nil {
		s.manifest.Revision = prev.Revision + 1
		for _, p := range prev.Parts {
			s.previous[p.ContentHash] = p
		}
	}
	if err := s.split(inv.Normalize()); err != nil {
		return nil, nil, err
	}
	s.manifest.inherit(prev)
	return s.manifest, s.parts, nil
}

// splitter builds a manifest and its parts.
type splitter struct {
	nonce string
	// previous holds the parts of the previous manifest by the hash of their content.
	previous map[string]PartRef
	manifest *Manifest
	// parts are the parts that are not in the previous manifest.
	parts []Part
}

// split adds the parts of all lists.
func (s *splitter) split(inv *Inventory) error {
	fleet, err := json.Marshal(fleetItems{inv.FailureDomains, inv.Models, inv.Planner})
	if err != nil {
		return splitError(lagoonhead.KindInternal, err)
	}
	rules, err := encodeItems(inv.Rules, func(r Rule) string { return r.Name })
	if err != nil {
		return err
	}
	if err := s.addPart(PartFleet, 0, fleet); err != nil {
		return err
	}
	if err := shardList(s, PartEngines, inv.Engines, func(e Engine) string { return string(e.ID) }); err != nil {
		return err
	}
	if err := shardList(s, PartServices, inv.Services, func(v Service) string { return v.ID }); err != nil {
		return err
	}
	if err := shardList(s, PartWorkspaces, inv.Workspaces, func(w Workspace) string { return string(w.ID) }); err != nil {
		return err
	}
	if err := s.splitOrdered(PartRules, "rules", rules); err != nil {
		return err
	}
	return shardList(s, PartEndpointStates, inv.EndpointStates, func(e EndpointState) string { return string(e.Endpoint) })
}

func splitError(k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "inventory.split", Kind: k, Err: err}}
}

// encodeItems encodes the elements of a list as JSON.
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

// listNames maps the kinds of sharded lists to the JSON names of the lists.
var listNames = map[PartKind]string{
	PartEngines: "engines", PartServices: "services", PartWorkspaces: "workspaces", PartEndpointStates: "endpointStates",
}

// shardList distributes a list over parts by the hash of the identifiers, so that an
// edit of one element changes one part. The number of shards is a power of two and
// depends only on the total size of the list.
func shardList[T any](s *splitter, k PartKind, list []T, id func(T) string) error {
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
		if err := s.addList(k, i, listNames[k], group); err != nil {
			return err
		}
	}
	return nil
}

// splitOrdered divides a list whose order matters into consecutive parts of at most
// targetPartBytes, or of one larger item.
func (s *splitter) splitOrdered(k PartKind, name string, items []item) error {
	for part := 0; len(items) > 0; part++ {
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+len(items[n].body) <= targetPartBytes) {
			size += len(items[n].body)
			n++
		}
		if err := s.addList(k, part, name, items[:n]); err != nil {
			return err
		}
		items = items[n:]
	}
	return nil
}

// addList adds a part that holds the items as the list with the given JSON name.
func (s *splitter) addList(k PartKind, shard int, name string, items []item) error {
	bodies := make([]json.RawMessage, len(items))
	for i, it := range items {
		bodies[i] = it.body
	}
	b, err := json.Marshal(map[string][]json.RawMessage{name: bodies})
	if err != nil {
		return splitError(lagoonhead.KindInternal, err)
	}
	return s.addPart(k, shard, b)
}

// addPart adds a part to the manifest, and to the parts to write unless the previous
// manifest has a part with the same content.
func (s *splitter) addPart(k PartKind, shard int, items json.RawMessage) error {
	if len(items) > maxPartBytes {
		return splitError(lagoonhead.KindExhausted,
			fmt.Errorf("a part of kind %s has %d bytes, more than %d", k, len(items), maxPartBytes))
	}
	content := hashOf(append([]byte(k+"\n"), items...))
	if old, ok := s.previous[content]; ok {
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
	ref := PartRef{Kind: k, Shard: shard, Hash: hashOf(body), ContentHash: content}
	s.manifest.Parts = append(s.manifest.Parts, ref)
	s.parts = append(s.parts, Part{Hash: ref.Hash, Body: body})
	return nil
}

// Join reassembles the inventory from the parts of a manifest. body returns the body
// of the part with the given hash. The result is normalized. An error of KindNotFound
// names a missing part, one of KindInvalid a part whose body does not match its hash
// or cannot be decoded.
func Join(m *Manifest, body func(hash string) ([]byte, bool)) (*Inventory, error) {
	return new(Joiner).Join(m, body)
}

// Joiner joins successive revisions and decodes each part only once: it caches the
// decoded parts of the last revision by their hash. Its zero value is ready to use.
// The inventories that it returns share memory: Clone one before changing it. A Joiner
// is not safe for concurrent use.
type Joiner struct{ decoded map[string]*Inventory }

// Join is like the function Join, but reuses the parts that the last call decoded.
// Parts that the manifest does not list are dropped from the cache.
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
		return nil, joinError(lagoonhead.KindInvalid, ref, errors.New("the body does not match its hash"))
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

// merge adds the content of a part of kind k.
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
