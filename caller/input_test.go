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

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead"
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

// text returns the request as it goes over the connection.
func (b badInput) text(t *testing.T, s Sealer) string {
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

func resumeToken(t *testing.T, s Sealer, kind string) string {
	t.Helper()
	token := Token{Workspace: "A", Endpoint: "e1", Request: "r1", Offset: 0}
	if kind == "foreign" {
		token.Workspace = "B"
	}
	sealed := []byte(s.Seal(token))
	if kind == "altered" {
		sealed[len(sealed)/2] ^= 1
	}
	return string(sealed)
}

// exchangeText sends a raw request on a connection of its own and closes the
// sending side.
func exchangeText(t *testing.T, addr, text string) (*http.Response, []byte) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	go func() {
		_, _ = io.WriteString(c, text) // the server may answer before it has read all
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res, b
}

// Guards against bad input that is run, that is answered without an error object,
// or whose answer misleads about whether it ran.
func TestBadInputs(t *testing.T) {
	raw, err := os.ReadFile("testdata/badInputs.yaml")
	require.NoError(t, err)
	var cases []badInput
	d := yaml.NewDecoder(strings.NewReader(string(raw)))
	d.KnownFields(true)
	require.NoError(t, d.Decode(&cases))
	s, st, srv, _ := newFront(t)
	s.Limits.BodyBytes = 64 << 10
	st.routes["bookings POST /bookings"] = lagoonhead.Route{}
	st.routes["bookings POST /mustHaveKey"] = lagoonhead.Route{KeyRequired: true}
	st.routes["bookings POST /open"] = lagoonhead.Route{Open: true}
	st.setKey("kOld", "A")
	st.setKey("kOld", "")
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			res, b := exchangeText(t, srv.Listener.Addr().String(), c.text(t, s.Sealer))
			var got errorObject
			require.NoError(t, json.Unmarshal(b, &got), "%s", b)
			require.Equal(t, c.Status, res.StatusCode, "%s", b)
			require.Equal(t, c.Type, got.Error.Type)
			require.Equal(t, c.Code, got.Error.Code)
			require.Equal(t, c.Run, res.Header.Get(headerRun))
			require.NotEmpty(t, got.Error.Message)
		})
	}
	require.Empty(t, st.attempts(), "a refused request ran")
}

// Guards against a token that still opens after any one bit was changed.
func TestTokenBits(t *testing.T) {
	s, _, _, _ := newFront(t)
	want := Token{Workspace: "A", Endpoint: "e1", Request: "r1", Offset: 41}
	sealed := s.Sealer.Seal(want)
	got, err := s.Sealer.Open(sealed)
	require.NoError(t, err)
	require.Equal(t, want, got)
	for i := range len(sealed) * 8 {
		b := []byte(sealed)
		b[i/8] ^= 1 << (i % 8)
		_, err := s.Sealer.Open(string(b))
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), "bit %d", i)
	}
}
