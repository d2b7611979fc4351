package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

func newClient(url, key string, more ...option.RequestOption) openai.Client {
	more = append(more, option.WithBaseURL(url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	return openai.NewClient(more...)
}

func completionParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("count")},
	}
}

// Guards against responses that the OpenAI client cannot parse, and against settled or
// recorded tokens that differ from the usage that the engine reports.
func TestOpenAIClientCompletion(t *testing.T) {
	s, st, srv, _ := newTestServer(t)
	c := newClient(srv.URL, "kA")
	got, err := c.Chat.Completions.New(context.Background(), completionParams())
	require.NoError(t, err)
	require.Equal(t, "one two three", got.Choices[0].Message.Content)
	require.Equal(t, "stop", got.Choices[0].FinishReason)
	require.EqualValues(t, 8, got.Usage.TotalTokens)
	srv.Close() // waits for the handlers
	require.Equal(t, []int64{8}, st.settled)
	require.Equal(t, []lagoonhead.WorkspaceUsage{{Workspace: "A", PromptTokens: 5, OutputTokens: 3, Requests: 1}}, st.usage)
	require.Zero(t, s.InFlight("e1"))
	require.Equal(t, "completed", st.decisions[0].Result)
}

// Guards against lost, duplicate or additional events of a stream, also when the
// connection to the engine breaks.
func TestOpenAIClientStream(t *testing.T) {
	for _, breakAt := range []int{-1, 1, 2, 3} {
		_, st, srv, _ := newTestServer(t)
		st.engine = func(_ context.Context, _ lagoonhead.Endpoint, c lagoonhead.Completion) (lagoonhead.EventStream, error) {
			sc := newScriptedStream(c.ResumeOffset)
			if c.ResumeOffset < 0 {
				sc.breakAt, sc.err = breakAt, fault("stub", lagoonhead.KindUnknown, nil)
			}
			return sc, nil
		}
		c := newClient(srv.URL, "kA")
		stream := c.Chat.Completions.NewStreaming(context.Background(), completionParams())
		var text strings.Builder
		events := 0
		for stream.Next() {
			events++
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		require.NoError(t, stream.Err(), "break at %d", breakAt)
		require.Equal(t, "one two three", text.String())
		require.Equal(t, 3, events, "the caller did not ask for the usage event")
		srv.Close() // waits for the handlers
		require.EqualValues(t, 3, st.usage[0].OutputTokens)
	}
}

// Guards against models that the OpenAI client cannot list or look up.
func TestOpenAIClientModels(t *testing.T) {
	_, _, srv, _ := newTestServer(t)
	c := newClient(srv.URL, "kA")
	page, err := c.Models.List(context.Background())
	require.NoError(t, err)
	require.Len(t, page.Data, 2)
	for _, name := range []string{"m", "org/other"} {
		m, err := c.Models.Get(context.Background(), name)
		require.NoError(t, err)
		require.Equal(t, name, m.ID)
	}
	_, err = c.Models.Get(context.Background(), "nope")
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "model_not_found", apiErr.Code)
}

// Guards against a withdrawn key that is still accepted on a connection that was opened
// before the withdrawal.
func TestWithdrawnKeyOnAnOpenConnection(t *testing.T) {
	_, st, srv, _ := newTestServer(t)
	var dials atomic.Int32
	tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		return new(net.Dialer).DialContext(ctx, network, addr)
	}}
	defer tr.CloseIdleConnections()
	c := newClient(srv.URL, "kA", option.WithHTTPClient(&http.Client{Transport: tr}))
	for range 3 {
		_, err := c.Chat.Completions.New(context.Background(), completionParams())
		require.NoError(t, err)
	}
	st.setKey("kA", "")
	_, err := c.Chat.Completions.New(context.Background(), completionParams())
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, http.StatusUnauthorized, apiErr.StatusCode)
	require.Equal(t, "no", apiErr.Response.Header.Get(headerRun))
	require.Len(t, st.attempts(), 3)
	require.EqualValues(t, 1, dials.Load(), "the connection was not reused")
}
