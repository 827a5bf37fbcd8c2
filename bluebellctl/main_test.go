package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/presenter"
)

const validChange = `{"batches": {"counter": {"base": 0, "until": "2999-01-01T00:00:00Z", "services": {"stock": {}}}}}`

// reply is one response of a fake controller. Status 0 aborts the connection instead.
type reply struct {
	status int
	body   string
}

// startControllers starts a fake controller for each list of replies and returns their addresses and the ids of the requests
// they receive. The last reply of a list is repeated.
func startControllers(t *testing.T, replyLists ...[]reply) (addrs string, ids *[]string) {
	t.Helper()
	ids = &[]string{}
	var mu sync.Mutex
	var addrList []string
	for _, replies := range replyLists {
		next := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			*ids = append(*ids, r.URL.Query().Get("id"))
			reply := replies[min(next, len(replies)-1)]
			next++
			if reply.status == 0 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(reply.status)
			_, _ = w.Write([]byte(reply.body))
		}))
		t.Cleanup(server.Close)
		addrList = append(addrList, server.Listener.Addr().String())
	}
	return strings.Join(addrList, ","), ids
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "text")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o644))
	return path
}

// TestApply guards against an exit code that reports an outcome as certain when it is unknown, and against retries with a new
// id.
func TestApply(t *testing.T) {
	accepted := reply{200, `{"version": 7}`}
	unavailable := reply{503, `{"error": "no majority", "code": "unavailable"}`}
	lost := reply{}
	for _, tt := range []struct {
		name    string
		first   []reply
		second  []reply
		code    int
		version string
		sends   int
	}{
		{"accepted", []reply{accepted}, []reply{accepted}, exitOK, "7\n", 1},
		{"invalid", []reply{{400, `{"error": "x", "code": "invalid"}`}}, []reply{accepted}, exitInvalid, "", 1},
		{"missing", []reply{{404, `{"code": "missing"}`}}, []reply{accepted}, exitInvalid, "", 1},
		{"conflict", []reply{{409, `{"error": "x", "code": "conflict", "version": 9}`}}, []reply{accepted}, exitConflict, "", 1},
		{"unavailable, then accepted", []reply{unavailable}, []reply{accepted}, exitOK, "7\n", 2},
		{"always unavailable", []reply{unavailable}, []reply{unavailable}, exitUnavailable, "", 4},
		{"lost, then accepted", []reply{lost}, []reply{accepted}, exitOK, "7\n", 2},
		{"lost, then unavailable", []reply{lost, unavailable}, []reply{unavailable}, exitUnknown, "", 4},
		{"lost, then conflict", []reply{lost}, []reply{{409, `{}`}}, exitConflict, "", 2},
		{"unknown, then accepted", []reply{{504, `{"code": "unknown"}`}, accepted}, []reply{unavailable}, exitOK, "7\n", 3},
		{"always unknown", []reply{{504, `{}`}}, []reply{{504, `{}`}}, exitUnknown, "", 4},
		{"always unreadable or failing", []reply{{200, `{"ver`}}, []reply{{500, ``}}, exitUnknown, "", 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addrs, ids := startControllers(t, tt.first, tt.second)
			var stdout, stderr bytes.Buffer
			code := execute(t.Context(), []string{"apply", "--controllers", addrs, "--rounds", "2", writeFile(t, validChange)}, &stdout, &stderr)
			t.Log(stderr.String())
			is.Equal(code, tt.code)
			is.Equal(stdout.String(), tt.version)
			is.Equal(len(*ids), tt.sends)
			for _, id := range *ids {
				is.True(id != "" && id == (*ids)[0])
			}
			if tt.code == exitUnknown {
				is.True(strings.Contains(stderr.String(), (*ids)[0])) // the operator needs the id to retry
			}
		})
	}
}

// TestUsage guards against commands that reach a controller, or exit 0, without valid arguments.
func TestUsage(t *testing.T) {
	for _, tt := range []struct {
		name string
		args []string
		code int
	}{
		{"no command", nil, exitUsage},
		{"unknown command", []string{"aply"}, exitUsage},
		{"unknown flag", []string{"status", "--x"}, exitUsage},
		{"no file", []string{"apply"}, exitUsage},
		{"file is missing", []string{"apply", "/nonexistent"}, exitUsage},
		{"bad controllers", []string{"status", "--controllers", "x"}, exitUsage},
		{"bad id", []string{"apply", "--id", "1", writeFile(t, validChange)}, exitUsage},
		{"bad version", []string{"wait", "x"}, exitUsage},
		{"nothing listens", []string{"apply", "--controllers", "127.0.0.1:1", "--rounds", "1", writeFile(t, validChange)}, exitUnavailable},
		{"status, nothing listens", []string{"status", "--controllers", "127.0.0.1:1"}, exitUnavailable},
		{"check", []string{"check", writeFile(t, validChange)}, exitOK},
		{"check invalid", []string{"check", writeFile(t, `{"batches": {}}`)}, exitInvalid},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			is.New(t).Equal(execute(t.Context(), tt.args, &stdout, &stderr), tt.code)
		})
	}
}

// TestBatch guards against printing a change file that cannot be applied or is based on an old version.
func TestBatch(t *testing.T) {
	is := is.New(t)
	staleBatch := `{"name": "counter", "version": 3, "until": "2999-01-01T00:00:00Z", "services": []}`
	newestBatch := `{"name": "counter", "version": 5, "until": "2999-01-01T00:00:00Z", "services": [
		{"name": "payout", "needs": ["seller"], "class": "urgent", "once": true, "limit": "5s"},
		{"name": "seller", "class": "normal", "limit": "10s"}]}`
	addrs, _ := startControllers(t, []reply{{200, newestBatch}}, []reply{{200, staleBatch}}, []reply{{}})
	var stdout, stderr bytes.Buffer
	is.Equal(execute(t.Context(), []string{"batch", "--controllers", addrs, "counter"}, &stdout, &stderr), exitOK)
	edits, err := compiler.Parse(stdout.Bytes(), time.Now())
	is.NoErr(err)
	is.Equal(len(edits), 1)
	is.Equal(edits[0].Base, uint64(5))
	is.Equal(len(edits[0].Services), 2)
	payout := edits[0].Services[0]
	is.Equal(payout.Needs, []string{"seller"})
	is.True(payout.Once && payout.Class == "urgent" && payout.Limit == 5*time.Second)
}

// TestCheckReached guards against a wait that ends too early because a controller is stale or a daemon is listed twice, and
// against a wait that never ends because a change did not affect a daemon's batch.
func TestCheckReached(t *testing.T) {
	list := []presenter.Batch{{Name: "a", Version: 8}, {Name: "b", Version: 4}}
	for _, tt := range []struct {
		name       string
		version    uint64 // of the second controller; the first is stale at version 5
		daemons    []presenter.Daemon
		minDaemons int
		want       error
	}{
		{"all have it in effect", 8, []presenter.Daemon{{Name: "x", Batch: "a", Held: 8}}, 1, nil},
		{"untouched batch", 8, []presenter.Daemon{{Name: "x", Batch: "b", Held: 4}}, 1, nil},
		{"untouched batch, behind", 8, []presenter.Daemon{{Name: "x", Batch: "b", Held: 3}}, 1, errNotReached},
		{"behind", 8, []presenter.Daemon{{Name: "x", Batch: "a", Held: 7}}, 1, errNotReached},
		{"controllers behind", 7, []presenter.Daemon{{Name: "x", Batch: "a", Held: 8}}, 1, errNotReached},
		{"daemon known to the stale controller only", 8, nil, 1, errNotReached},
		{"too few", 8, []presenter.Daemon{{Name: "x", Batch: "a", Held: 8}}, 2, errNotReached},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			stale := startController(t, presenter.Status{Version: 5, Daemons: []presenter.Daemon{{Name: "x", Batch: "a", Held: 1}}}, []presenter.Batch{{Name: "a", Version: 1}})
			fresh := startController(t, presenter.Status{Version: tt.version, Daemons: tt.daemons}, list)
			_, err := newClient([]netip.AddrPort{stale, fresh}, time.Minute).checkReached(t.Context(), 8, tt.minDaemons)
			is.True(errors.Is(err, tt.want))
		})
	}
}

// startController starts a fake controller with the given status and batches.
func startController(t *testing.T, s presenter.Status, list []presenter.Batch) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status" {
			_ = json.NewEncoder(w).Encode(s)
			return
		}
		_ = json.NewEncoder(w).Encode(list)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestFormatRoutes guards against a batch that loses its routes when it is printed, edited and applied.
func TestFormatRoutes(t *testing.T) {
	is := is.New(t)
	text := `{"batches": {"counter": {"base": 0, "until": "2999-01-01T00:00:00Z", "services": {"stock": {"needs": [], "conns": 9}},
		"routes": {"r": {"host": "h", "prefix": "/", "parts": {"stock": 1}, "timeout": "1s", "rank": 1, "attempts": 2}},
		"bounds": {"header": 1024, "body": 2048, "wait": "3s", "idle": "15s"}}}}`
	edits, err := compiler.Parse([]byte(text), time.Now())
	is.NoErr(err)
	printed, err := formatBatch(presenter.Batch{
		Name: "counter", Until: time.UnixMilli(edits[0].Until).UTC(),
		Services: []presenter.Service{{Name: "stock", Class: "normal", Limit: "10s", Conns: 9}},
		Routes: []presenter.Route{{
			Name: "r", Host: "h", Prefix: "/", Parts: map[string]int{"stock": 1}, Timeout: "1s", Target: "0s", Rank: 1, Attempts: 2,
		}},
		Bounds: &presenter.Bounds{Header: 1024, Body: 2048, Wait: "3s", Idle: "15s"},
	})
	is.NoErr(err)
	again, err := compiler.Parse(printed, time.Now())
	is.NoErr(err)
	is.True(reflect.DeepEqual(again, edits))
}

// TestFormatTenants guards against a printed batch that removes all tenants, and with them the need for keys, when it is
// applied.
func TestFormatTenants(t *testing.T) {
	_, err := formatBatch(presenter.Batch{Name: "counter", Auth: true, Tenants: []presenter.Tenant{{Name: "t", Keys: 1}}})
	is.New(t).True(errors.Is(err, errInvalid))
}
