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

// YAML tags that the parser assigns to scalars.
const (
	tagNull  = "!!null"
	tagText  = "!!str"
	tagInt   = "!!int"
	tagBool  = "!!bool"
	tagMerge = "!!merge"
)

// Map is a mapping of the document. The accessors, such as Text and Int, take the name
// of a field and return its value. An accessor returns the default if the field is
// absent; it reports a field that is not valid and returns the default, too. Calling
// an accessor also declares that the mapping may have the field: ReportUnknown reports all
// other fields as unknown.
type Map struct {
	r      *reader
	path   string // such as "engines[2]"; empty for the top level
	line   int
	column int
	fields []field
	// index maps names to positions in fields. Only large mappings have it, so that a
	// long list of small mappings uses little memory.
	index map[string]int
	// known lists the names that accessors have been called with.
	known []string
}

// minIndexedFields is the minimum number of fields of a mapping that has an index.
const minIndexedFields = 16

// field is one entry of a mapping.
type field struct {
	name  string
	value *yaml.Node
	// line and column are the position of the name.
	line   int
	column int
}

func newMap(r *reader, path string, n *yaml.Node) *Map {
	m := &Map{r: r, path: path, line: n.Line, column: n.Column}
	if len(n.Content)/2 >= minIndexedFields {
		m.index = make(map[string]int, len(n.Content)/2)
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		m.addField(n.Content[i], n.Content[i+1])
	}
	return m
}

// addField adds a field, or reports a name that is not a scalar or is a duplicate.
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
	m.fields = append(m.fields, field{name: k.Value, value: v, line: k.Line, column: k.Column})
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

// get marks the field as known and returns its value, or nil when it is absent.
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

// Line returns the line of the field's value, or of the mapping when the field is
// absent.
func (m *Map) Line(name string) int {
	if f := m.find(name); f != nil {
		return f.value.Line
	}
	return m.line
}

// Fail reports a fault of the field, at the position of its value or of the mapping
// when it is absent. An empty name means the mapping itself.
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

// Failed reports whether a fault of the field has been reported.
func (m *Map) Failed(name string) bool {
	path := joinPath(m.path, name)
	return slices.ContainsFunc(m.r.problems, func(p Problem) bool { return p.Field == path })
}

// Require reports those of the named fields that are absent.
func (m *Map) Require(names ...string) {
	for _, n := range names {
		if !m.Has(n) {
			m.Fail(n, "the field is missing", "")
		}
	}
}

// ReportUnknown reports the fields that no accessor has been called for as unknown. It must
// be called after all accessors.
func (m *Map) ReportUnknown() {
	for _, f := range m.fields {
		if !slices.Contains(m.known, f.name) {
			m.r.add(f.line, f.column, joinPath(m.path, f.name), "unknown field", JoinAccepted(m.known))
		}
	}
}

// Err returns the faults of the whole document that have been reported so far, in line
// order, as an Error of KindInvalid, or nil when there are none.
func (m *Map) Err(op string) error { return m.r.err(op) }

// scalar returns the text of a field, or false when the field is absent or is not a
// scalar with the given YAML tag. A field with another value is reported.
func (m *Map) scalar(name, tag, accepted string) (string, bool) {
	n := m.get(name)
	if n == nil {
		return "", false
	}
	return m.r.scalar(n, joinPath(m.path, name), tag, accepted)
}

// scalar is like Map.scalar for a node at the given path. A merge key ("<<") counts as
// text.
func (r *reader) scalar(n *yaml.Node, path, tag, accepted string) (string, bool) {
	switch {
	case n.Kind != yaml.ScalarNode:
		r.add(n.Line, n.Column, path, "a single value is needed here", accepted)
		return "", false
	case n.Tag == tagNull:
		r.add(n.Line, n.Column, path, "the field has no value", accepted)
		return "", false
	case n.Tag != tag && (tag != tagText || n.Tag != tagMerge):
		r.add(n.Line, n.Column, path, describeMismatch(n, tag), accepted)
		return "", false
	}
	return n.Value, true
}

// describeMismatch returns the message for a scalar that has another tag than the given
// one.
func describeMismatch(n *yaml.Node, tag string) string {
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

// maxTextBytes is the maximum length of free text.
const maxTextBytes = 400

// Text returns one line of free text of at most 400 bytes.
func (m *Map) Text(name, def string) string {
	const accepted = "one line of text, in quotes if it looks like a number, at most 400 bytes"
	s, ok := m.scalar(name, tagText, accepted)
	if !ok {
		return def
	}
	if len(s) > maxTextBytes || strings.ContainsFunc(s, unprintable) {
		m.Fail(name, "the text is too long or has control characters", accepted)
		return def
	}
	return s
}

func unprintable(c rune) bool { return !unicode.IsPrint(c) }

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const acceptedName = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"

// Identifier returns an identifier, or "" when the field is absent or not valid.
func (m *Map) Identifier(name string) string {
	s, ok := m.scalar(name, tagText, acceptedName)
	if ok && !namePattern.MatchString(s) {
		m.Fail(name, strconv.Quote(s)+" is not an identifier", acceptedName)
		return ""
	}
	return s
}

// OneOf returns a text that must be one of the accepted ones.
func (m *Map) OneOf(name, def string, accepted ...string) string {
	s, ok := m.scalar(name, tagText, JoinAccepted(accepted))
	if !ok {
		return def
	}
	if !slices.Contains(accepted, s) {
		m.Fail(name, strconv.Quote(s)+" is not known", JoinAccepted(accepted))
		return def
	}
	return s
}

// Bool returns a Boolean.
func (m *Map) Bool(name string, def bool) bool {
	s, ok := m.scalar(name, tagBool, "true, false")
	if !ok {
		return def
	}
	return strings.EqualFold(s, "true")
}

// Int returns a whole decimal number from minimum to maximum.
func (m *Map) Int(name string, def, minimum, maximum int64) int64 {
	accepted := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	s, ok := m.scalar(name, tagInt, accepted)
	if !ok {
		return def
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v < minimum || v > maximum {
		m.Fail(name, s+" is not accepted", accepted)
		return def
	}
	return v
}

// Duration returns a time with a unit from minimum to maximum.
func (m *Map) Duration(name string, def, minimum, maximum time.Duration) time.Duration {
	accepted := fmt.Sprintf("a time with a unit (ms, s, m, h) from %s to %s", minimum, maximum)
	s, ok := m.scalar(name, tagText, accepted)
	if !ok {
		return def
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < minimum || v > maximum {
		m.Fail(name, strconv.Quote(s)+" is not accepted", accepted)
		return def
	}
	return v
}

// Value is a type that parses its own text.
type Value interface {
	// UnmarshalText parses the text. It must leave the value unchanged on an error.
	UnmarshalText(text []byte) error
	// Accepted describes the accepted texts for messages.
	Accepted() string
}

// Value parses the field into v and reports whether it did. v keeps its value, which
// serves as the default, when the field is absent or not valid.
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

// Map returns a nested mapping. It is empty when the field is absent or not a mapping.
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

// list returns the items of a list, or nil when the field is absent or not a list.
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

// Maps returns the items of a list of mappings. Items that are not mappings are
// reported and left out.
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

// Item is one item of a list of texts.
type Item struct {
	Text string
	r    *reader
	path string
	node *yaml.Node
}

// Fail reports a fault of the item.
func (i Item) Fail(message, accepted string) {
	i.r.add(i.node.Line, i.node.Column, i.path, message, accepted)
}

// TextItems returns the items of a list of texts. Items that are not text are reported
// and left out.
func (m *Map) TextItems(name string) []Item {
	var out []Item
	for i, n := range m.list(name) {
		path := indexPath(joinPath(m.path, name), i)
		if s, ok := m.r.scalar(n, path, tagText, "text"); ok {
			out = append(out, Item{Text: s, r: m.r, path: path, node: n})
		}
	}
	return out
}
