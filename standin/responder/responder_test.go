package responder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"bluebellhoist/core/echoer"
	"bluebellhoist/standin/recorder"
)

func start(t *testing.T, opts ...Option) (*httptest.Server, *recorder.Recorder) {
	t.Helper()
	records, err := recorder.New()
	is.New(t).NoErr(err)
	opts = append([]Option{WithName("one", "seller"), WithRecord(records.Record, records.Runs)}, opts...)
	router := echo.New()
	New(opts...).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return server, records
}

func send(t *testing.T, server *httptest.Server, path string, header http.Header) (*http.Response, []byte) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest("POST", server.URL+path, strings.NewReader("body"))
	is.NoErr(err)
	req.Header = header
	resp, err := server.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp, body
}

// TestCall guards against refused calls that are counted as runs, and against runs that are not counted.
func TestCall(t *testing.T) {
	for _, tt := range []struct {
		name   string
		path   string
		header http.Header
		status int
		runs   int
	}{
		{"echo", "/a?b=1", nil, 200, 1},
		{"size", "/a?size=1000", nil, 200, 1},
		{"bad size", "/a?size=x", nil, 400, 0},
		{"deadline passed", "/a", http.Header{deadlineHeader: {"0"}}, 504, 0},
		{"chain without a daemon", "/a?call=b", nil, 502, 1},
		{"chain too deep", "/a?call=" + strings.Repeat("b,", 15) + "b", nil, 400, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server, records := start(t)
			header := tt.header.Clone()
			if header == nil {
				header = http.Header{}
			}
			header.Set(keyHeader, "k")
			resp, body := send(t, server, tt.path, header)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(records.Runs()["k"], tt.runs)
			if tt.status != 200 {
				return
			}
			request := echoer.New("POST", tt.path, []byte("body"))
			if strings.Contains(tt.path, "size") {
				is.NoErr(echoer.CheckSized(request, 1000, body))
				return
			}
			_, err := echoer.Check(request, body)
			is.NoErr(err)
		})
	}
}

// TestNested guards against nested calls that lose the headers of the mesh, the service name or the idempotency key.
func TestNested(t *testing.T) {
	is := is.New(t)
	var hosts, paths []string
	var headers []http.Header
	var next http.Handler
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hosts, paths, headers = append(hosts, r.Host), append(paths, r.URL.RequestURI()), append(headers, r.Header)
		next.ServeHTTP(w, r)
	}))
	defer daemon.Close()
	server, records := start(t, WithSlots(3), WithDaemon(netip.MustParseAddrPort(daemon.Listener.Addr().String())))
	next = server.Config.Handler
	header := http.Header{"Bluebell-Depth": {"3"}, deadlineHeader: {"600000"}, keyHeader: {"k"}, "Other": {"x"}}
	resp, _ := send(t, server, "/a?call=b,c", header)
	is.Equal(resp.StatusCode, 200)
	is.Equal(hosts, []string{"b", "c"})
	is.Equal(paths, []string{"/a?call=c", "/a"})
	is.Equal(headers[1].Get("Bluebell-Depth"), "3")
	is.Equal(headers[1].Get("Other"), "")
	is.True(headers[1].Get(deadlineHeader) < "600000") // the time already spent is subtracted
	is.Equal(records.Runs()["k"], 3)
}

// TestShed guards against a shed call that is counted as a run, or stays counted as in progress.
func TestShed(t *testing.T) {
	is := is.New(t)
	r := New(WithShedLimit(1))
	r.load.Add(1)
	router := echo.New()
	r.Register(router)
	recorded := httptest.NewRecorder()
	router.ServeHTTP(recorded, httptest.NewRequest("GET", "/a", nil))
	is.Equal(recorded.Code, http.StatusServiceUnavailable)
	is.Equal(r.load.Load(), int64(1))
}
