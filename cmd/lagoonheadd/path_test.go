package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead/fakeengine"
)

// expected returns the whole answer that the stand-in engines give.
func expected(t *testing.T, text string, most int64) string {
	t.Helper()
	body := fmt.Sprintf(`{"model":"reader","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, text, most)
	words, err := fakeengine.Answer([]byte(body))
	require.NoError(t, err)
	return strings.Join(words, "")
}

// Guards against a path that works only inside one process: a caller with the
// published client gets its whole answer through each of three daemons, streamed
// and not.
func TestCompletionThroughSeparateProcesses(t *testing.T) {
	f := newFleet(t, 2, 3)
	for i, d := range f.daemons {
		text := fmt.Sprintf("does floor %d fit a weekend?", i)
		c := client(d, frontDeskKey)
		answer, err := c.Chat.Completions.New(t.Context(), question(text, 20))
		require.NoError(t, err)
		require.Equal(t, expected(t, text, 20), answer.Choices[0].Message.Content)

		stream := c.Chat.Completions.NewStreaming(t.Context(), question(text, 40))
		var b strings.Builder
		for stream.Next() {
			if ch := stream.Current().Choices; len(ch) > 0 {
				b.WriteString(ch[0].Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, expected(t, text, 40), b.String())
	}
}

// Guards against a request that runs without the key of a workspace.
func TestWrongKeyIsRefused(t *testing.T) {
	f := newFleet(t, 1, 1)
	c := client(f.daemons[0], "lh-unknown-000000000000000000")
	_, err := c.Chat.Completions.New(t.Context(), question("hello", 5))
	var e *openai.Error
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, http.StatusUnauthorized, e.StatusCode)
	require.Equal(t, "no", e.Response.Header.Get("Lagoonhead-Run"))
}
