package caller

import (
	"strings"
	"testing"
)

// BenchmarkParseCompletion measures the checks of a prompt of 100,000 tokens.
func BenchmarkParseCompletion(b *testing.B) {
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("word ", 80000) + `"}]}`)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		p, err := parseCompletion(body, 1024, 4096)
		if err != nil {
			b.Fatal(err)
		}
		p.forEngine()
		PromptBlocks(p.model, p.rendered)
	}
}
