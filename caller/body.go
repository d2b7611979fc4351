package caller

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxModelBytes bounds the name of a model.
const maxModelBytes = 256

// member is one member of the body's JSON object, in the caller's order.
type member struct {
	key   string
	value json.RawMessage
}

// completionBody is a checked body of a completion.
type completionBody struct {
	members   []member
	model     string
	stream    bool
	maxTokens int
	// showUsage is true when the caller asked for the usage event of a stream.
	showUsage bool
	rendered  []byte
}

// checkedNames are the members that the daemon reads. Other spellings of them are
// refused, because some JSON parsers would take them for the same name.
var checkedNames = []string{
	"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "tools",
}

// parseCompletion checks the body strictly. defaultMax and most are the output
// limit when the body has none, and the largest one allowed.
func parseCompletion(body []byte, defaultMax, most int) (*completionBody, error) {
	members, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	b := &completionBody{members: members}
	steps := []func() error{
		b.readModel, b.readMessages, b.readStream, b.readChoices,
		func() error { return b.readMaxTokens(defaultMax, most) },
	}
	for _, f := range steps {
		if err := f(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// parseObject splits a JSON object into its members. It refuses invalid UTF-8 and
// repeated names, on which parsers disagree.
func parseObject(body []byte) ([]member, error) {
	if !utf8.Valid(body) || !json.Valid(body) {
		return nil, invalid("invalid_json", "body is not valid JSON")
	}
	var out []member
	seen := make(map[string]bool)
	ok, err := members(body, func(key string, value json.RawMessage) error {
		if seen[key] || isOtherSpelling(key) {
			return invalid("invalid_json", "body has member %q twice or in another spelling", key)
		}
		seen[key] = true
		out = append(out, member{key, value})
		return nil
	})
	if !ok {
		return nil, invalid("invalid_json", "body is not a JSON object")
	}
	return out, err
}

func isOtherSpelling(key string) bool {
	for _, n := range checkedNames {
		if key != n && strings.EqualFold(key, n) {
			return true
		}
	}
	return false
}

// get returns the value of a member. A null counts as absent.
func (b *completionBody) get(key string) (json.RawMessage, bool) {
	for _, m := range b.members {
		if m.key == key {
			return m.value, string(m.value) != "null"
		}
	}
	return nil, false
}

func (b *completionBody) set(key string, value json.RawMessage) {
	for i := range b.members {
		if b.members[i].key == key {
			b.members[i].value = value
			return
		}
	}
	b.members = append(b.members, member{key, value})
}

func (b *completionBody) readModel() error {
	v, _ := b.get("model")
	if json.Unmarshal(v, &b.model) != nil || b.model == "" || len(b.model) > maxModelBytes {
		return invalid("invalid_model", "model must be a non-empty string of at most %d bytes", maxModelBytes)
	}
	return nil
}

func (b *completionBody) readMessages() error {
	if t, ok := b.get("tools"); ok {
		b.rendered = append(append(b.rendered, t...), '\n')
	}
	v, ok := b.get("messages")
	count := 0
	if ok {
		var err error
		ok, err = elements(v, func(i int, raw json.RawMessage) error {
			count++
			return b.readMessage(i, raw)
		})
		if err != nil {
			return err
		}
	}
	if !ok || count == 0 {
		return invalid("invalid_messages", "messages must be a non-empty array")
	}
	return nil
}

// readMessage checks that a message has a role and renders it. The prompt's blocks
// need no more than that equal messages are rendered alike, so their JSON will do.
func (b *completionBody) readMessage(i int, raw json.RawMessage) error {
	hasRole := false
	_, _ = members(raw, func(key string, value json.RawMessage) error {
		if key == "role" {
			hasRole = value[0] == '"' && len(value) > len(`""`)
		}
		return nil
	})
	if !hasRole {
		return invalid("invalid_messages", "messages[%d] must be an object with a role", i)
	}
	b.rendered = append(append(b.rendered, raw...), '\n')
	return nil
}

func (b *completionBody) readStream() error {
	if v, ok := b.get("stream"); ok && json.Unmarshal(v, &b.stream) != nil {
		return invalid("invalid_stream", "stream must be true or false")
	}
	v, ok := b.get("stream_options")
	if !ok {
		return nil
	}
	var o struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if json.Unmarshal(v, &o) != nil {
		return invalid("invalid_stream", "stream_options must be an object")
	}
	b.showUsage = o.IncludeUsage
	return nil
}

func (b *completionBody) readChoices() error {
	v, ok := b.get("n")
	if ok && string(v) != "1" {
		return invalid("unsupported_n", "n must be 1")
	}
	return nil
}

func (b *completionBody) readMaxTokens(defaultMax, most int) error {
	b.maxTokens = defaultMax
	given := 0
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		v, ok := b.get(key)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(v))
		if err != nil || n < 1 || n > most {
			return invalid("invalid_max_tokens", "%s must be a whole number from 1 to %d", key, most)
		}
		if given != 0 && given != n {
			return invalid("invalid_max_tokens", "max_tokens and max_completion_tokens differ")
		}
		given, b.maxTokens = n, n
	}
	return nil
}

// forEngine returns the body that goes to an engine: always streamed, with the
// engine's count of tokens, and with the output limit that was charged.
func (b *completionBody) forEngine() []byte {
	b.set("stream", json.RawMessage("true"))
	b.set("stream_options", json.RawMessage(`{"include_usage":true}`))
	b.set("max_tokens", json.RawMessage(strconv.Itoa(b.maxTokens)))
	var out bytes.Buffer
	for i, m := range b.members {
		out.WriteByte("{,"[min(i, 1)])
		key, _ := json.Marshal(m.key) // a string always encodes
		out.Write(key)
		out.WriteByte(':')
		out.Write(m.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}
