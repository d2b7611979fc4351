package relay

import (
	"context"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// defaultMaxAnswerBytes bounds the event data that Collect merges.
const defaultMaxAnswerBytes = 16 << 20

// Collect reads the whole response and returns it as the JSON body of a non-streamed
// response. It writes nothing to the caller, so after an error another endpoint can be
// tried.
func (r *Relay) Collect(ctx context.Context, t Transfer) ([]byte, Result, error) {
	r.counters.collected.Add(1)
	s := r.source(&t)
	defer s.close()
	var u usage
	b, err := r.collect(ctx, s, &u)
	r.countFailure(false, err)
	return b, s.result(false, u), err
}

func (r *Relay) collect(ctx context.Context, s *source, u *usage) ([]byte, error) {
	const op = "relay.collect"
	maxBytes := r.MaxCollectedBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxAnswerBytes
	}
	a := chatCompletion{Object: "chat.completion", Choices: []*choice{}}
	size := 0
	for first := true; ; first = false {
		v, err := s.next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		r.counters.events.Add(1)
		if first && s.transfer.FirstToken != nil {
			s.transfer.FirstToken()
		}
		if size += len(v.Data); size > maxBytes {
			return nil, fail(op, lagoonhead.KindExhausted, errTooLarge)
		}
		u.update(v.Data)
		if err := a.add(v.Data); err != nil {
			return nil, fail(op, lagoonhead.KindInternal, err)
		}
	}
	b, err := json.Marshal(a)
	if err != nil {
		return nil, fail(op, lagoonhead.KindInternal, err)
	}
	s.callBeforeEnd(*u)
	return b, nil
}

// chatCompletion is a non-streamed OpenAI chat completion.
type chatCompletion struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	Choices           []*choice       `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int       `json:"index"`
	Message      message   `json:"message"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs,omitempty"`
}

type message struct {
	Role      string      `json:"role"`
	Content   *string     `json:"content"`
	Refusal   string      `json:"refusal,omitempty"`
	Reasoning string      `json:"reasoning_content,omitempty"`
	ToolCalls []*toolCall `json:"tool_calls,omitempty"`

	// The texts accumulated from the events so far.
	content, refusal, reasoning []byte
}

type toolCall struct {
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`

	index int
	// arguments is the text accumulated from the events so far.
	arguments []byte
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal,omitempty"`
}

// chunk is one event of a streamed OpenAI chat completion.
type chunk struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint"`
	Usage             json.RawMessage `json:"usage"`
	Choices           []struct {
		Index        int       `json:"index"`
		Delta        delta     `json:"delta"`
		FinishReason *string   `json:"finish_reason"`
		Logprobs     *logprobs `json:"logprobs"`
	} `json:"choices"`
}

type delta struct {
	Role      string  `json:"role"`
	Content   *string `json:"content"`
	Refusal   string  `json:"refusal"`
	Reasoning string  `json:"reasoning_content"`
	ToolCalls []struct {
		Index    int          `json:"index"`
		ID       string       `json:"id"`
		Type     string       `json:"type"`
		Function toolFunction `json:"function"`
	} `json:"tool_calls"`
}

// add merges the data of one event.
func (a *chatCompletion) add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	if a.ID == "" {
		a.ID, a.Created, a.Model, a.SystemFingerprint = c.ID, c.Created, c.Model, c.SystemFingerprint
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.Usage = slices.Clone(c.Usage)
	}
	for _, v := range c.Choices {
		o := a.choice(v.Index)
		o.Message.add(v.Delta)
		if v.FinishReason != nil {
			o.FinishReason = v.FinishReason
		}
		if v.Logprobs != nil {
			o.addLogprobs(v.Logprobs)
		}
	}
	return nil
}

// choice returns the choice with the given index and adds it if it is missing. The
// choices are sorted by index.
func (a *chatCompletion) choice(index int) *choice {
	i, ok := slices.BinarySearchFunc(a.Choices, index, func(c *choice, n int) int { return c.Index - n })
	if !ok {
		a.Choices = slices.Insert(a.Choices, i, &choice{Index: index, Message: message{Role: "assistant"}})
	}
	return a.Choices[i]
}

func (c *choice) addLogprobs(l *logprobs) {
	if c.Logprobs == nil {
		c.Logprobs = &logprobs{Content: []json.RawMessage{}}
	}
	c.Logprobs.Content = append(c.Logprobs.Content, l.Content...)
	c.Logprobs.Refusal = append(c.Logprobs.Refusal, l.Refusal...)
}

func (m *message) add(d delta) {
	if d.Role != "" {
		m.Role = d.Role
	}
	if d.Content != nil {
		m.content = append(m.content, *d.Content...)
		if m.Content == nil {
			m.Content = new(string)
		}
	}
	m.refusal = append(m.refusal, d.Refusal...)
	m.reasoning = append(m.reasoning, d.Reasoning...)
	for _, t := range d.ToolCalls {
		v := m.toolCall(t.Index)
		if t.ID != "" {
			v.ID = t.ID
		}
		if t.Type != "" {
			v.Type = t.Type
		}
		if t.Function.Name != "" {
			v.Function.Name = t.Function.Name
		}
		v.arguments = append(v.arguments, t.Function.Arguments...)
	}
}

func (m *message) toolCall(index int) *toolCall {
	i, ok := slices.BinarySearchFunc(m.ToolCalls, index, func(t *toolCall, n int) int { return t.index - n })
	if !ok {
		m.ToolCalls = slices.Insert(m.ToolCalls, i, &toolCall{index: index})
	}
	return m.ToolCalls[i]
}

// MarshalJSON implements json.Marshaler. It sets the fields whose text was accumulated
// from several events.
func (m message) MarshalJSON() ([]byte, error) {
	type plain message
	p := plain(m)
	if p.Content != nil {
		s := string(p.content)
		p.Content = &s
	}
	p.Refusal, p.Reasoning = string(p.refusal), string(p.reasoning)
	for _, t := range p.ToolCalls {
		t.Function.Arguments = string(t.arguments)
	}
	return json.Marshal(p)
}
