package strict

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
)

// reader parses one document and collects its problems.
type reader struct {
	file     string
	problems Problems
}

func (r *reader) add(line, column int, field, message, accepted string) {
	r.problems = append(r.problems, Problem{
		File: r.file, Line: line, Column: column, Field: field, Message: message, Accepted: accepted,
	})
}

func (r *reader) err(op string) error {
	if len(r.problems) == 0 {
		return nil
	}
	r.problems.sort()
	return &Error{lagoonhead.Fault{Op: op, Kind: lagoonhead.KindInvalid, Err: r.problems}}
}

const opOpen = "strict.open"

// maxSeparators is the maximum number of separators in a document. It limits the
// number of values, since each value needs a separator. The YAML library builds the
// whole tree before anything can be checked: without the limit, 12 MB of short values
// take 2.4 GB of memory. An inventory of 6,400 workspaces and 2,500 engines has 267,000
// separators.
const maxSeparators = 1_000_000

// countSeparators counts the characters that can separate values.
func countSeparators(data []byte) int {
	n := 0
	for i, c := range data {
		switch c {
		case '\n', ',', ':', '[', '{', '?':
			n++
		case ' ', '\t':
			if i > 0 && data[i-1] == '-' {
				n++
			}
		}
	}
	return n
}

// Open parses a document of at most limit bytes and returns its top level, which must
// be a mapping. An empty document counts as an empty mapping. The file name is used in
// messages only. Open returns faults of the size, the syntax and the structure; faults
// of fields are collected by the accessors of Map and returned by Map.Err.
func Open(file string, data []byte, limit int) (*Map, error) {
	r := &reader{file: file}
	if len(data) > limit {
		r.add(1, 1, "", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", limit))
		return nil, r.err(opOpen)
	}
	if n := countSeparators(data); n > maxSeparators {
		r.add(1, 1, "", fmt.Sprintf("the file has %d separators (line ends and any of , : [ { ? and \"- \")", n),
			fmt.Sprintf("at most %d", maxSeparators))
		return nil, r.err(opOpen)
	}
	root := r.parse(data)
	if len(r.problems) > 0 {
		return nil, r.err(opOpen)
	}
	if root == nil {
		return newMap(r, "", &yaml.Node{Kind: yaml.MappingNode, Line: 1, Column: 1}), nil
	}
	if !plain(root) {
		r.checkTree(root, "")
	}
	if len(r.problems) > 0 {
		return nil, r.err(opOpen)
	}
	if root.Kind != yaml.MappingNode {
		r.add(root.Line, root.Column, "", "the document is not a mapping", "fields with values")
		return nil, r.err(opOpen)
	}
	return newMap(r, "", root), nil
}

// parse returns the root of the only document, or nil when it is empty or faulty.
func (r *reader) parse(data []byte) *yaml.Node {
	d := yaml.NewDecoder(bytes.NewReader(data))
	var first yaml.Node
	err := d.Decode(&first)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		r.addSyntaxError(err)
		return nil
	}
	var second yaml.Node
	switch err := d.Decode(&second); {
	case errors.Is(err, io.EOF):
	case err != nil:
		r.addSyntaxError(err)
	default:
		r.add(second.Line, second.Column, "", "a second document begins here", "one document per file")
	}
	if len(first.Content) == 0 {
		return nil
	}
	n := first.Content[0]
	if n.Kind == yaml.ScalarNode && n.Tag == tagNull {
		return nil
	}
	return n
}

// yamlLine matches the line number in errors of the YAML library.
var yamlLine = regexp.MustCompile(`^yaml: line ([0-9]+): `)

// addSyntaxError reports an error of the YAML library.
func (r *reader) addSyntaxError(err error) {
	text, line := err.Error(), 1
	if m := yamlLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	r.add(line, 1, "", "not valid YAML: "+strings.TrimPrefix(text, "yaml: "), "")
}

// plain reports whether the tree is free of aliases, anchors and explicit tags.
func plain(n *yaml.Node) bool {
	if n.Kind == yaml.AliasNode || n.Anchor != "" || n.Style&yaml.TaggedStyle != 0 {
		return false
	}
	for _, c := range n.Content {
		if !plain(c) {
			return false
		}
	}
	return true
}

// checkTree reports aliases, anchors and explicit tags. Nested aliases could expand a
// short file to a very large document.
func (r *reader) checkTree(n *yaml.Node, path string) {
	switch {
	case n.Kind == yaml.AliasNode:
		r.add(n.Line, n.Column, path, "an alias is not accepted", "the value itself")
		return
	case n.Anchor != "":
		r.add(n.Line, n.Column, path, "an anchor is not accepted", "the value itself")
	case n.Style&yaml.TaggedStyle != 0:
		r.add(n.Line, n.Column, path, "an explicit tag is not accepted", "the value without a tag")
	}
	for i, c := range n.Content {
		r.checkTree(c, childPath(n, i, path))
	}
}

// childPath returns the path of the child of n with index i. The children of a mapping
// are its names and values in turn.
func childPath(n *yaml.Node, i int, path string) string {
	if n.Kind == yaml.SequenceNode {
		return indexPath(path, i)
	}
	return joinPath(path, n.Content[i-i%2].Value)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
