package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Logs of two VMs in the format of the daemons. In the first, a log collector has added a prefix to each line.
const (
	logA = `  12.1 vm-a {"@level":"info","@message":"snapshot in effect","@module":"vm-a.subscriber","@timestamp":"2026-07-10T16:44:30.1Z","version":7}
  13.0 vm-a {"@level":"info","@message":"call failed","@module":"vm-a.dispatcher","@timestamp":"2026-07-10T16:44:33.5Z","id":"k1.c1","status":503,"outcome":"not-run","reason":"no slot","asked":["vm-b"]}
  13.0 vm-a {"@level":"info","@message":"call failed","@module":"vm-a.dispatcher","@timestamp":"2026-07-10T16:44:33.6Z","id":"k1","status":502,"outcome":"unknown","reason":"connection reset","again":"may run only once","asked":["vm-b"]}
not a line of a process
`
	logB = `{"@level":"warn","@message":"member is dead","@module":"vm-b.gossiper","@timestamp":"2026-07-10T16:44:29Z","member":"vm-c"}
{"@level":"info","@message":"stopping","@module":"vm-b","@timestamp":"2026-07-10T16:44:10Z"}
{"@level":"info","@message":"change","@module":"core.operator","@timestamp":"2026-07-10T16:44:20Z","id":"c9","code":"conflict","reason":"batch is at revision 6"}
{"@level":"info","@message":"call answered","@module":"vm-b.dispatcher","@timestamp":"2026-07-10T16:44:40Z","id":"k2","status":200,"outcome":"answered","asked":["vm-c","vm-b"]}
{"@level":"info","@message":"call refused","@module":"vm-b.dispatcher","@timestamp":"2026-07-10T16:44:41Z","id":"k4","status":401,"reason":"unknown key","version":9,"revision":4}
{"@level":"warn","@message":"configuration not proven, calls that need a key are refused","@module":"vm-b.authorizer","@timestamp":"2026-07-10T16:44:42Z","version":9}
{"@level":"info","@message":"call refused","@module":"vm-b.dispatcher","@timestamp":"2026-07-10T16:44:42Z","id":"k5","status":503,"reason":"the configuration is not proven to be current","version":9,"revision":4}
{"@level":"info","@message":"call refused","@module":"vm-b.dispatcher","@timestamp":"2026-07-10T16:44:43Z","id":"k6","status":401,"reason":"the call needs a key","version":9,"revision":4}
`
)

// TestExplain guards against missing lines of a call, lines of unrelated calls, and a wrong summary.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	if err := os.WriteFile(a, []byte(logA), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(b, []byte(logB), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name    string
		args    []string
		code    int
		want    []string
		without []string
	}{
		{"unknown outcome", []string{"k1", a, b}, exitOK,
			[]string{"k1.c1", "snapshot in effect version=7", "member is dead", "not sent again: may run only once", "2 VMs"},
			[]string{"stopping", "k2", "code="}},
		{"answered", []string{"k2", b}, exitOK, []string{"the upstream of vm-b answered with status 200", "one VM"}, []string{"k1"}},
		{"change", []string{"c9", b}, exitOK, []string{"code conflict: batch is at revision 6"}, nil},
		{"unknown key", []string{"k4", b}, exitOK, []string{"status 401; the call did not run: unknown key", "version 9 (revision 4)"}, nil},
		{"no proof", []string{"k5", b}, exitOK, []string{"calls that need a key are refused", "status 503", "session ended"}, nil},
		{"no key", []string{"k6", b}, exitOK, []string{"status 401", "was not public in version 9 (revision 4)"}, nil},
		{"json", []string{"--json", "k1", a}, exitOK, []string{`"verdict": "unknown whether it ran: connection reset`}, nil},
		{"unknown id", []string{"k3", a, b}, exitFailed, nil, nil},
		{"no file", []string{"k1"}, exitUsage, nil, nil},
		{"missing file", []string{"k1", filepath.Join(dir, "none")}, exitUsage, nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(execute(context.Background(), append([]string{"explain"}, tt.args...), &out, &errs), tt.code)
			for _, text := range tt.want {
				is.True(strings.Contains(out.String(), text))
			}
			for _, text := range tt.without {
				is.True(!strings.Contains(out.String(), text))
			}
		})
	}
}
