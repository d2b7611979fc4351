package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkParseCompletion measures parsing a body and hashing its prompt of about
// 1,000, 10,000 and 100,000 tokens.
func BenchmarkParseCompletion(b *testing.B) {
	for _, words := range []int{800, 8000, 80000} {
		b.Run(strconv.Itoa(words), func(b *testing.B) {
			body := []byte(`{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("word ", words) + `"}]}`)
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				p, err := parseCompletion(body, 1024, 4096)
				if err != nil {
					b.Fatal(err)
				}
				p.engineBody()
				PromptBlocks(p.model, p.renderedPrompt)
			}
		})
	}
}

// BenchmarkCompletion measures a short completion over HTTP, with a stub in place of the
// engine.
func BenchmarkCompletion(b *testing.B) {
	_, _, srv, _ := newTestServer(b)
	url := srv.URL + "/v1/chat/completions"
	for b.Loop() {
		r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(validBody))
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer kA")
		res, err := http.DefaultClient.Do(r)
		if err != nil || res.StatusCode != http.StatusOK {
			b.Fatal(res, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}
