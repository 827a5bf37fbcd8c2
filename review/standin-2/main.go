// Command standin2 runs the cases of the second review: it starts the programs of the deploy file on loopback addresses, plays
// the platform, the backends, the requesters and the operator, and checks one rule.
//
//	standin2 CASE FOLDER
//
// The folder gets record.txt. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, rec *record, trouble bool) (broken bool, err error){
	"unnumbered-ping": unnumberedPing,
	"all-killed":      allKilled,
	"unreadable":      unreadableConfig,
	"disk-lost":       diskLostAfterReplacement,
	"shut-out":        shutOut,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	broken, err := cases[os.Args[1]](ctx, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
