package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unready = 2
)

// Usage: review3 CASE BINARY RECORD. The variable TROUBLE=0 leaves the disruption out.
func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE BINARY RECORD")
		os.Exit(unready)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func run(name, binary, recordPath string, trouble bool) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unready
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	fail := func(err error) int {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return unready
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	if binary, err = filepath.Abs(binary); err != nil {
		return fail(err)
	}
	m, err := newMesh(rec, binary, dir)
	if err != nil {
		return fail(err)
	}
	defer m.stopAll()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		m.stopAll()
		os.Exit(unready)
	}()
	scenario, ok := cases[name]
	if !ok {
		return fail(fmt.Errorf("no case %q", name))
	}
	violations, err := scenario(m, trouble)
	if err != nil {
		return fail(err)
	}
	for _, v := range violations {
		rec.add("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		fmt.Printf("rule broken: %d, the first: %s\n", len(violations), violations[0])
		return broken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return held
}

// cases are the scenarios by name. Each returns what broke the rule.
var cases = map[string]func(m *mesh, trouble bool) ([]string, error){
	"key":   keyCase,
	"port":  portCase,
	"spare": spareCase,
	"limit": limitCase,
	"body":  bodyCase,
}
