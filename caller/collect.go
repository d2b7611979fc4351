package caller

import (
	"encoding/json"

	"github.com/lagoonhead/lagoonhead"
)

// joiner joins the chunks of a stream into one chat.completion object.
type joiner struct {
	head   chunk
	delta  map[string]json.RawMessage
	text   map[string]string
	calls  []toolCall
	reason *string
	any    bool
}

type chunk struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	Choices           []chunkChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int                        `json:"index"`
	Delta        map[string]json.RawMessage `json:"delta,omitempty"`
	Message      map[string]any             `json:"message,omitempty"`
	FinishReason *string                    `json:"finish_reason"`
}

type toolCall struct {
	Index    int      `json:"-"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function toolFunc `json:"function"`
}

type toolFunc struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

func (j *joiner) add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fault("caller.collect", lagoonhead.KindInternal, err)
	}
	if !j.any {
		j.head, j.any = c, true
		j.text, j.delta = map[string]string{}, map[string]json.RawMessage{}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		j.head.Usage = c.Usage
	}
	for _, ch := range c.Choices {
		if ch.FinishReason != nil {
			j.reason = ch.FinishReason
		}
		if err := j.addDelta(ch.Delta); err != nil {
			return err
		}
	}
	return nil
}

// addDelta appends the strings of a delta, such as content, and keeps the last of
// other values.
func (j *joiner) addDelta(delta map[string]json.RawMessage) error {
	for k, v := range delta {
		if string(v) == "null" {
			continue
		}
		if k == "tool_calls" {
			if err := j.addCalls(v); err != nil {
				return err
			}
			continue
		}
		var s string
		switch {
		case json.Unmarshal(v, &s) != nil:
			j.delta[k] = append(json.RawMessage(nil), v...)
		case k == "role":
			j.text[k] = s
		default:
			j.text[k] += s
		}
	}
	return nil
}

func (j *joiner) addCalls(v json.RawMessage) error {
	var parts []struct {
		toolCall
		Index int `json:"index"`
	}
	if err := json.Unmarshal(v, &parts); err != nil {
		return fault("caller.collect", lagoonhead.KindInternal, err)
	}
	for _, p := range parts {
		c := j.call(p.Index)
		if p.ID != "" {
			c.ID = p.ID
		}
		if p.Type != "" {
			c.Type = p.Type
		}
		c.Function.Name += p.Function.Name
		c.Function.Arguments += p.Function.Arguments
	}
	return nil
}

// call returns the tool call with the given index, which it adds if needed.
func (j *joiner) call(index int) *toolCall {
	for i := range j.calls {
		if j.calls[i].Index == index {
			return &j.calls[i]
		}
	}
	j.calls = append(j.calls, toolCall{Index: index})
	return &j.calls[len(j.calls)-1]
}

// finish returns the joined object.
func (j *joiner) finish() ([]byte, error) {
	if !j.any {
		return nil, fault("caller.collect", lagoonhead.KindUnknown, nil)
	}
	m := map[string]any{"role": "assistant", "content": nil}
	for k, v := range j.delta {
		m[k] = v
	}
	for k, v := range j.text {
		m[k] = v
	}
	if len(j.calls) > 0 {
		m["tool_calls"] = j.calls
	}
	out := j.head
	out.Object = "chat.completion"
	out.Choices = []chunkChoice{{Message: m, FinishReason: j.reason}}
	b, err := json.Marshal(out)
	if err != nil {
		return nil, fault("caller.collect", lagoonhead.KindInternal, err)
	}
	return b, nil
}
