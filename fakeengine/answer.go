package fakeengine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// bytesPerToken is the fixed size of a token of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens is used for requests without a positive max_tokens.
	defaultMaxTokens = 32
	// wordLetters is the length of a word of the answer without the trailing space.
	wordLetters = 5
	// letters is the alphabet of the words.
	letters = "abcdefghijklmnopqrstuvwxyz234567"
)

// prompt is the parsed body of a completion request: the text of all messages and
// the options that the engine supports.
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
		return prompt{}, fail("fakeengine.parse", lagoonhead.KindInvalid, errors.New("field messages is empty"))
	}
	var b strings.Builder
	for _, m := range j.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	maxTokens := max(j.MaxTokens, j.MaxCompletionTokens)
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	return prompt{
		model: j.Model, text: b.String(), maxTokens: maxTokens,
		stream: j.Stream, includeUsage: j.StreamOptions.IncludeUsage,
	}, nil
}

// contentText returns content that is a string unquoted and any other content,
// such as a list of parts, as raw JSON.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

func (p prompt) tokens() int { return (len(p.text) + bytesPerToken - 1) / bytesPerToken }

// Answer returns the words of the answer to a completion request with the given
// JSON body; each word is one token. The answer depends only on the messages and
// max_tokens. It has between half of max_tokens and max_tokens words.
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

// mix is one step of the splitmix64 generator: it maps each seed of the
// pseudo-random sequence of words to the next one.
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
