package fakeengine

import (
	"encoding/json"
	"strings"
)

type chunkJSON struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceJSON `json:"choices"`
	Usage   *usageJSON   `json:"usage,omitempty"`
}

type choiceJSON struct {
	Index        int          `json:"index"`
	Delta        *messageJSON `json:"delta,omitempty"`
	Message      *messageJSON `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageJSON struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usageJSON struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// eventCount returns the number of events of the complete stream: the words, the
// finish reason, the usage if it was requested, and [DONE].
func (r *run) eventCount() int {
	n := len(r.words) + 2
	if r.prompt.includeUsage {
		n++
	}
	return n
}

// event returns the data of event n, counted from 0.
func (r *run) event(n, cached int) []byte {
	if n == r.eventCount()-1 {
		return []byte("[DONE]")
	}
	c := chunkJSON{
		ID: "chatcmpl-" + string(r.id), Object: "chat.completion.chunk",
		Created: r.created, Model: r.prompt.model, Choices: []choiceJSON{},
	}
	switch {
	case n < len(r.words):
		d := &messageJSON{Content: &r.words[n]}
		if n == 0 {
			d.Role = "assistant"
		}
		c.Choices = append(c.Choices, choiceJSON{Delta: d})
	case n == len(r.words):
		reason := r.finishReason()
		c.Choices = append(c.Choices, choiceJSON{Delta: &messageJSON{}, FinishReason: &reason})
	default:
		c.Usage = r.usage(cached)
	}
	b, _ := json.Marshal(c) // strings and numbers always marshal
	return b
}

func (r *run) finishReason() string {
	if len(r.words) == r.prompt.maxTokens {
		return "length"
	}
	return "stop"
}

func (r *run) usage(cached int) *usageJSON {
	u := &usageJSON{PromptTokens: r.prompt.tokens(), CompletionTokens: len(r.words)}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = cached
	return u
}

// response returns the body of a completion that is not streamed.
func (r *run) response(cached int) chunkJSON {
	text := strings.Join(r.words, "")
	reason := r.finishReason()
	return chunkJSON{
		ID: "chatcmpl-" + string(r.id), Object: "chat.completion",
		Created: r.created, Model: r.prompt.model, Usage: r.usage(cached),
		Choices: []choiceJSON{{
			Message: &messageJSON{Role: "assistant", Content: &text}, FinishReason: &reason,
		}},
	}
}
