package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/relay"
)

const validBody = `{"model":"m","messages":[{"role":"user","content":"a"}]}`

// badInput is one case of testdata/badInputs.yaml.
type badInput struct {
	Name, Method, Path, Key, Token string
	Headers                        map[string]string
	Body                           *string
	Binary                         bool
	Repeat, Cut, Status            int
	Type, Code, Run                string
}

// rawRequest returns the bytes of the HTTP request.
func (b badInput) rawRequest(t *testing.T, s *relay.Sealer) string {
	method, path, body := "POST", "/v1/chat/completions", validBody
	if b.Method != "" {
		method = b.Method
	}
	if b.Path != "" {
		path = b.Path
	}
	if b.Body != nil {
		body = *b.Body
	}
	if b.Binary {
		body = strings.ReplaceAll(body, `\xff`, "\xff")
	}
	h := map[string]string{"Authorization": "Bearer kA"}
	if b.Key != "" {
		h["Authorization"] = "Bearer " + b.Key
	}
	if b.Token != "" {
		body = `{"stream":true,` + body[1:]
		h["Last-Event-ID"] = resumeToken(t, s, b.Token)
	}
	for k, v := range b.Headers {
		if v == "filler" {
			v = strings.Repeat("v", 20<<10)
		}
		h[k] = v
	}
	if b.Repeat > 1 {
		body = strings.Replace(body, `"a"`, `"`+strings.Repeat("a", b.Repeat)+`"`, 1)
	}
	if b.Key == "-" {
		delete(h, "Authorization")
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", method, path, len(body)+b.Cut)
	for k, v := range h {
		fmt.Fprintf(&out, "%s: %s\r\n", k, v)
	}
	out.WriteString("\r\n" + body)
	return out.String()
}

func resumeToken(t *testing.T, s *relay.Sealer, kind string) string {
	t.Helper()
	w := lagoonhead.WorkspaceID("A")
	if kind == "foreign" {
		w = "B"
	}
	text, err := s.Seal(relay.NewResumePoint("e1", "r1", w, 0))
	require.NoError(t, err)
	sealed := []byte(text)
	if kind == "altered" {
		sealed[len(sealed)/2] ^= 1
	}
	return string(sealed)
}

// sendRawRequest sends the request on a new connection, closes its sending side and
// returns the response with its body.
func sendRawRequest(t *testing.T, addr, text string) (*http.Response, []byte) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	go func() {
		_, _ = io.WriteString(c, text) // the server may respond before it has read the whole request
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res, b
}

// Guards against invalid input that reaches an endpoint, that gets no error object, or
// whose response has the wrong run state.
func TestBadInputs(t *testing.T) {
	raw, err := os.ReadFile("testdata/badInputs.yaml")
	require.NoError(t, err)
	var cases []badInput
	d := yaml.NewDecoder(strings.NewReader(string(raw)))
	d.KnownFields(true)
	require.NoError(t, d.Decode(&cases))
	s, st, srv, _ := newTestServer(t)
	s.Limits.MaxBodyBytes = 64 << 10
	st.routes["bookings POST /bookings"] = lagoonhead.Route{}
	st.routes["bookings POST /mustHaveKey"] = lagoonhead.Route{IdempotencyKeyRequired: true}
	st.routes["bookings POST /open"] = lagoonhead.Route{NoAPIKey: true}
	st.setKey("kOld", "A")
	st.setKey("kOld", "")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			res, b := sendRawRequest(t, srv.Listener.Addr().String(), c.rawRequest(t, s.Sealer))
			var got errorObject
			require.NoError(t, json.Unmarshal(b, &got), "%s", b)
			require.Equal(t, c.Status, res.StatusCode, "%s", b)
			require.Equal(t, c.Type, got.Error.Type)
			require.Equal(t, c.Code, got.Error.Code)
			require.Equal(t, c.Run, res.Header.Get(headerRun))
			require.NotEmpty(t, got.Error.Message)
		})
	}
	require.Empty(t, st.attempts(), "a refused request reached an engine")
}

// Guards against a resume token that is accepted although one of its bits was changed.
func TestTokenBits(t *testing.T) {
	s, _, _, _ := newTestServer(t)
	want := relay.NewResumePoint("e1", "r1", "A", 41)
	sealed, err := s.Sealer.Seal(want)
	require.NoError(t, err)
	got, err := s.Sealer.Open(sealed, "A")
	require.NoError(t, err)
	require.Equal(t, want, got)
	for i := range len(sealed) * 8 {
		b := []byte(sealed)
		b[i/8] ^= 1 << (i % 8)
		_, err := s.Sealer.Open(string(b), "A")
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), "bit %d", i)
	}
}

// Guards against a caller that keeps a request open forever by never completing its
// body.
func TestSlowBody(t *testing.T) {
	s, st, srv, tm := newTestServer(t)
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer kA\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	done := make(chan *http.Response, 1)
	go func() {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			done <- res
		}
		close(done)
	}()
	for res := (*http.Response)(nil); res == nil; {
		tm.Advance(s.Limits.BodyTimeout) // the server may start its timer only now
		select {
		case res = <-done:
			require.NotNil(t, res, "no response")
			require.Equal(t, http.StatusBadRequest, res.StatusCode)
			res.Body.Close()
		case <-time.After(time.Millisecond):
		}
	}
	require.Empty(t, st.attempts())
}
