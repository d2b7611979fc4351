package fakeengine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// bytesPerToken is the fixed ratio by which the stand-in counts tokens.
	bytesPerToken = 4
	// defaultMaxTokens bounds the answer when the caller names no bound.
	defaultMaxTokens = 32
	// wordLetters is the length of a word of the answer without its space.
	wordLetters = 5
	letters     = "abcdefghijklmnopqrstuvwxyz234567"
)

// prompt is what the stand-in reads from the body of a completion.
type prompt struct {
	model        string
	text         string
	maxTokens    int
	stream       bool
	includeUsage bool
}

type promptJSON struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func parsePrompt(body []byte) (prompt, error) {
	var j promptJSON
	if err := json.Unmarshal(body, &j); err != nil {
		return prompt{}, fail("fakeengine.parse", lagoonhead.KindInvalid, err)
	}
	if len(j.Messages) == 0 {
		return prompt{}, fail("fakeengine.parse", lagoonhead.KindInvalid, errors.New("messages is empty"))
	}
	var b strings.Builder
	for _, m := range j.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	most := max(j.MaxTokens, j.MaxCompletionTokens)
	if most <= 0 {
		most = defaultMaxTokens
	}
	return prompt{
		model: j.Model, text: b.String(), maxTokens: most,
		stream: j.Stream, includeUsage: j.StreamOptions.IncludeUsage,
	}, nil
}

// contentText returns a string content as it is, and content parts as raw JSON.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

func (p prompt) tokens() int { return (len(p.text) + bytesPerToken - 1) / bytesPerToken }

// Answer returns the words of the answer to the completion with the given JSON
// body; each word is one token. The answer depends on the messages and on
// max_tokens alone. Its length is between half of max_tokens and max_tokens.
func Answer(body []byte) ([]string, error) {
	p, err := parsePrompt(body)
	if err != nil {
		return nil, err
	}
	return p.answer(), nil
}

func (p prompt) answer() []string {
	seed := xxhash.Sum64String(p.text)
	half := (p.maxTokens + 1) / 2
	n := half + int(seed%uint64(p.maxTokens-half+1))
	words := make([]string, n)
	for i := range words {
		seed = mix(seed)
		words[i] = word(seed)
	}
	return words
}

// mix is the finalizer of splitmix64; it spreads a seed over a sequence.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func word(seed uint64) string {
	b := make([]byte, 0, wordLetters+1)
	for range wordLetters {
		b = append(b, letters[seed%uint64(len(letters))])
		seed /= uint64(len(letters))
	}
	return string(append(b, ' '))
}
