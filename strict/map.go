package strict

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"go.yaml.in/yaml/v3"
)

const (
	tagNull  = "!!null"
	tagText  = "!!str"
	tagInt   = "!!int"
	tagBool  = "!!bool"
	tagMerge = "!!merge"
)

// Map is a mapping of the document. Each accessor makes its field known; End
// reports the fields that no accessor has asked for. An accessor of an absent
// field returns the default; a faulty field is reported and gives the default
// too.
type Map struct {
	r      *reader
	path   string
	line   int
	column int
	fields []field
	// index finds the fields by name. Only large mappings have one, so that a long
	// list of small mappings stays cheap.
	index map[string]int
	known []string
}

// indexFrom is the number of fields from which on a mapping has an index.
const indexFrom = 16

type field struct {
	name  string
	value *yaml.Node
	line  int
	col   int
}

func newMap(r *reader, path string, n *yaml.Node) *Map {
	m := &Map{r: r, path: path, line: n.Line, column: n.Column}
	if len(n.Content)/2 >= indexFrom {
		m.index = make(map[string]int, len(n.Content)/2)
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		m.addField(n.Content[i], n.Content[i+1])
	}
	return m
}

func (m *Map) addField(k, v *yaml.Node) {
	if k.Kind != yaml.ScalarNode {
		m.r.add(k.Line, k.Column, m.path, "the name of a field is not plain text", "a name")
		return
	}
	if f := m.find(k.Value); f != nil {
		m.r.add(k.Line, k.Column, joinPath(m.path, k.Value),
			fmt.Sprintf("duplicate field; the first is in line %d", f.line), "each field once")
		return
	}
	if m.index != nil {
		m.index[k.Value] = len(m.fields)
	}
	m.fields = append(m.fields, field{name: k.Value, value: v, line: k.Line, col: k.Column})
}

func (m *Map) find(name string) *field {
	if m.index != nil {
		if i, ok := m.index[name]; ok {
			return &m.fields[i]
		}
		return nil
	}
	for i := range m.fields {
		if m.fields[i].name == name {
			return &m.fields[i]
		}
	}
	return nil
}

// get makes the field known and returns its value, or nil when it is absent.
func (m *Map) get(name string) *yaml.Node {
	if !slices.Contains(m.known, name) {
		m.known = append(m.known, name)
	}
	if f := m.find(name); f != nil {
		return f.value
	}
	return nil
}

// Has reports whether the field is present.
func (m *Map) Has(name string) bool { return m.find(name) != nil }

// Line returns the line of the field, or of the mapping when the field is absent.
func (m *Map) Line(name string) int {
	if f := m.find(name); f != nil {
		return f.value.Line
	}
	return m.line
}

// Fail reports a fault of the field; an empty name means the mapping itself.
func (m *Map) Fail(name, message, accepted string) {
	line, column, path := m.line, m.column, m.path
	if name != "" {
		path = joinPath(m.path, name)
	}
	if f := m.find(name); f != nil {
		line, column = f.value.Line, f.value.Column
	}
	m.r.add(line, column, path, message, accepted)
}

// Failed reports whether a fault of the field is known already.
func (m *Map) Failed(name string) bool {
	path := joinPath(m.path, name)
	return slices.ContainsFunc(m.r.problems, func(p Problem) bool { return p.Field == path })
}

// Require reports each of the named fields that is absent.
func (m *Map) Require(names ...string) {
	for _, n := range names {
		if !m.Has(n) {
			m.Fail(n, "the field is missing", "")
		}
	}
}

// End reports the fields that no accessor has asked for.
func (m *Map) End() {
	for _, f := range m.fields {
		if !slices.Contains(m.known, f.name) {
			m.r.add(f.line, f.col, joinPath(m.path, f.name), "unknown field", List(m.known))
		}
	}
}

// Err returns all faults of the document found so far, in line order, as an Error
// of KindInvalid, or nil.
func (m *Map) Err(op string) error { return m.r.err(op) }

// scalar returns the text of a present scalar with the given YAML tag.
func (m *Map) scalar(name, tag, accepted string) (string, bool) {
	n := m.get(name)
	if n == nil {
		return "", false
	}
	return m.r.scalar(n, joinPath(m.path, name), tag, accepted)
}

func (r *reader) scalar(n *yaml.Node, path, tag, accepted string) (string, bool) {
	switch {
	case n.Kind != yaml.ScalarNode:
		r.add(n.Line, n.Column, path, "a single value is needed here", accepted)
		return "", false
	case n.Tag == tagNull:
		r.add(n.Line, n.Column, path, "the field has no value", accepted)
		return "", false
	case n.Tag != tag && (tag != tagText || n.Tag != tagMerge):
		r.add(n.Line, n.Column, path, describe(n, tag), accepted)
		return "", false
	}
	return n.Value, true
}

func describe(n *yaml.Node, tag string) string {
	text := strconv.Quote(n.Value)
	switch tag {
	case tagInt:
		return text + " is not a whole number"
	case tagBool:
		return text + " is not true or false"
	default:
		return text + " is not text with a unit or in quotes"
	}
}

// maxText bounds free text, in bytes.
const maxText = 400

// Text returns a line of free text.
func (m *Map) Text(name, def string) string {
	const accepted = "one line of text, in quotes if it looks like a number, at most 400 bytes"
	s, ok := m.scalar(name, tagText, accepted)
	if !ok {
		return def
	}
	if len(s) > maxText || strings.ContainsFunc(s, unprintable) {
		m.Fail(name, "the text is too long or has control characters", accepted)
		return def
	}
	return s
}

func unprintable(c rune) bool { return !unicode.IsPrint(c) }

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const acceptedName = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"

// Name returns an identifier.
func (m *Map) Name(name string) string {
	s, ok := m.scalar(name, tagText, acceptedName)
	if ok && !namePattern.MatchString(s) {
		m.Fail(name, strconv.Quote(s)+" is not an identifier", acceptedName)
		return ""
	}
	return s
}

// OneOf returns one of the accepted texts.
func (m *Map) OneOf(name, def string, accepted ...string) string {
	s, ok := m.scalar(name, tagText, List(accepted))
	if !ok {
		return def
	}
	if !slices.Contains(accepted, s) {
		m.Fail(name, strconv.Quote(s)+" is not known", List(accepted))
		return def
	}
	return s
}

// Bool returns true or false.
func (m *Map) Bool(name string, def bool) bool {
	s, ok := m.scalar(name, tagBool, "true, false")
	if !ok {
		return def
	}
	return strings.EqualFold(s, "true")
}

// Int returns a decimal number between least and most.
func (m *Map) Int(name string, def, least, most int64) int64 {
	accepted := fmt.Sprintf("a whole number from %d to %d", least, most)
	s, ok := m.scalar(name, tagInt, accepted)
	if !ok {
		return def
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v < least || v > most {
		m.Fail(name, s+" is not accepted", accepted)
		return def
	}
	return v
}

// Duration returns a time with its unit, between least and most.
func (m *Map) Duration(name string, def, least, most time.Duration) time.Duration {
	accepted := fmt.Sprintf("a time with a unit (ms, s, m, h) from %s to %s", least, most)
	s, ok := m.scalar(name, tagText, accepted)
	if !ok {
		return def
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < least || v > most {
		m.Fail(name, strconv.Quote(s)+" is not accepted", accepted)
		return def
	}
	return v
}

// Value is a type with its own text form.
type Value interface {
	UnmarshalText(text []byte) error
	// Accepted describes the text form.
	Accepted() string
}

// Value reads the field into v and reports whether it did. An absent or faulty
// field leaves v as it is, provided that UnmarshalText does.
func (m *Map) Value(name string, v Value) bool {
	s, ok := m.scalar(name, tagText, v.Accepted())
	if !ok {
		return false
	}
	if err := v.UnmarshalText([]byte(s)); err != nil {
		m.Fail(name, err.Error(), v.Accepted())
		return false
	}
	return true
}

// Map returns a nested mapping, empty when it is absent.
func (m *Map) Map(name string) *Map {
	n := m.get(name)
	path := joinPath(m.path, name)
	if n != nil && n.Kind != yaml.MappingNode {
		m.Fail(name, "a mapping is needed here", "fields with values")
		n = nil
	}
	if n == nil {
		n = &yaml.Node{Kind: yaml.MappingNode, Line: m.line, Column: m.column}
	}
	return newMap(m.r, path, n)
}

func (m *Map) list(name string) []*yaml.Node {
	n := m.get(name)
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		m.Fail(name, "a list is needed here", "items that begin with '-', or []")
		return nil
	}
	return n.Content
}

// Maps returns the mappings of a list.
func (m *Map) Maps(name string) []*Map {
	var out []*Map
	for i, n := range m.list(name) {
		path := indexPath(joinPath(m.path, name), i)
		if n.Kind != yaml.MappingNode {
			m.r.add(n.Line, n.Column, path, "a mapping is needed here", "fields with values")
			continue
		}
		out = append(out, newMap(m.r, path, n))
	}
	return out
}

// Item is one text of a list.
type Item struct {
	// Text is the value.
	Text string
	r    *reader
	path string
	node *yaml.Node
}

// Fail reports a fault of the item.
func (i Item) Fail(message, accepted string) {
	i.r.add(i.node.Line, i.node.Column, i.path, message, accepted)
}

// Items returns the texts of a list.
func (m *Map) Items(name string) []Item {
	var out []Item
	for i, n := range m.list(name) {
		path := indexPath(joinPath(m.path, name), i)
		if s, ok := m.r.scalar(n, path, tagText, "text"); ok {
			out = append(out, Item{Text: s, r: m.r, path: path, node: n})
		}
	}
	return out
}
