// Command standin holds the stand-ins of the review: it plays the platform, the operator, the backends and the
// requesters of a small installation, and runs one case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// failed records why the case cannot run.
func (r *record) failed(err error) int {
	r.printf("%v", err)
	return failed
}

// caseFunc runs a case, with or without its disruption, and returns an exit code.
type caseFunc func(rec *record, trouble bool) int

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(failed)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	signal.Ignore(syscall.SIGPIPE)
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %t", os.Args[1], trouble)
	code := cases[os.Args[1]](rec, trouble)
	rec.printf("%s", map[int]string{held: "the rule held", broken: "the rule was BROKEN", failed: "the case could not run"}[code])
	_ = file.Close()
	os.Exit(code)
}
