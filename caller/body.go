package caller

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxModelBytes is the maximum length of a model name.
const maxModelBytes = 256

// member is one member of the JSON object of the body.
type member struct {
	key   string
	value json.RawMessage
}

// completionBody is the validated body of a completion request.
type completionBody struct {
	// members are in the caller's order.
	members   []member
	model     string
	stream    bool
	maxTokens int
	// includeUsage is true when the caller asked for the usage event of a stream.
	includeUsage bool
	// renderedPrompt holds the tools and messages, as input for PromptBlocks.
	renderedPrompt []byte
}

// validatedMembers are the members that the daemon interprets. Names that differ from
// them only in letter case are rejected, because some JSON parsers match names without
// regard to case.
var validatedMembers = []string{
	"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "tools",
}

// parseCompletion validates the body. defaultMax is the output limit, in tokens, when
// the body has none; maxAllowed is the largest one accepted.
func parseCompletion(body []byte, defaultMax, maxAllowed int) (*completionBody, error) {
	members, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	b := &completionBody{members: members}
	steps := []func() error{
		b.parseModel, b.parseMessages, b.parseStream, b.parseChoices,
		func() error { return b.parseMaxTokens(defaultMax, maxAllowed) },
	}
	for _, f := range steps {
		if err := f(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// parseObject splits a JSON object into its members. It rejects invalid UTF-8 and
// duplicate names, which JSON parsers treat differently.
func parseObject(body []byte) ([]member, error) {
	if !utf8.Valid(body) || !json.Valid(body) {
		return nil, invalid("invalid_json", "body is not valid JSON")
	}
	var out []member
	seen := make(map[string]bool)
	ok, err := forEachMember(body, func(key string, value json.RawMessage) error {
		if seen[key] || isCaseVariant(key) {
			return invalid("invalid_json", "body has member %q twice or in another letter case", key)
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

func isCaseVariant(key string) bool {
	for _, n := range validatedMembers {
		if key != n && strings.EqualFold(key, n) {
			return true
		}
	}
	return false
}

// get returns the value of a member, and false when it is absent or null.
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

func (b *completionBody) parseModel() error {
	v, _ := b.get("model")
	if json.Unmarshal(v, &b.model) != nil || b.model == "" || len(b.model) > maxModelBytes {
		return invalid("invalid_model", "model must be a non-empty string of at most %d bytes", maxModelBytes)
	}
	return nil
}

func (b *completionBody) parseMessages() error {
	if t, ok := b.get("tools"); ok {
		b.renderedPrompt = append(append(b.renderedPrompt, t...), '\n')
	}
	v, ok := b.get("messages")
	count := 0
	if ok {
		var err error
		ok, err = forEachElement(v, func(i int, raw json.RawMessage) error {
			count++
			return b.parseMessage(i, raw)
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

// parseMessage checks that a message has a role and appends its JSON to the rendered
// prompt. The JSON suffices, because the block hashes of a prompt only require that
// equal messages are rendered alike.
func (b *completionBody) parseMessage(i int, raw json.RawMessage) error {
	hasRole := false
	_, _ = forEachMember(raw, func(key string, value json.RawMessage) error {
		if key == "role" {
			hasRole = value[0] == '"' && len(value) > len(`""`)
		}
		return nil
	})
	if !hasRole {
		return invalid("invalid_messages", "messages[%d] must be an object with a role", i)
	}
	b.renderedPrompt = append(append(b.renderedPrompt, raw...), '\n')
	return nil
}

func (b *completionBody) parseStream() error {
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
	b.includeUsage = o.IncludeUsage
	return nil
}

func (b *completionBody) parseChoices() error {
	v, ok := b.get("n")
	if ok && string(v) != "1" {
		return invalid("unsupported_n", "n must be 1")
	}
	return nil
}

func (b *completionBody) parseMaxTokens(defaultMax, maxAllowed int) error {
	b.maxTokens = defaultMax
	given := 0
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		v, ok := b.get(key)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(v))
		if err != nil || n < 1 || n > maxAllowed {
			return invalid("invalid_max_tokens", "%s must be a whole number from 1 to %d", key, maxAllowed)
		}
		if given != 0 && given != n {
			return invalid("invalid_max_tokens", "max_tokens and max_completion_tokens differ")
		}
		given, b.maxTokens = n, n
	}
	return nil
}

// engineBody returns the body to send to an engine. It always asks for a stream with
// the usage event, and sets the output limit for which tokens are reserved.
func (b *completionBody) engineBody() []byte {
	b.set("stream", json.RawMessage("true"))
	b.set("stream_options", json.RawMessage(`{"include_usage":true}`))
	b.set("max_tokens", json.RawMessage(strconv.Itoa(b.maxTokens)))
	var out bytes.Buffer
	for i, m := range b.members {
		out.WriteByte("{,"[min(i, 1)])
		key, _ := json.Marshal(m.key) // encoding a string cannot fail
		out.Write(key)
		out.WriteByte(':')
		out.Write(m.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}
