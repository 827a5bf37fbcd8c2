package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["founder"] = founders }

const (
	founderLimit   = 85 * time.Second // for all rounds
	founderRestart = 300 * time.Millisecond
	startLimit     = 4 * time.Second // a controller listens well within that time
	startAttempts  = 3
)

// founders starts new installations. The disruption is a kill of all controllers at the same moment, shortly after
// their first start; each round uses a new installation and another moment.
func founders(rec *record, trouble bool) int {
	span, err := startSpan(rec)
	if err != nil {
		return rec.failed(err)
	}
	rec.printf("a controller has set up its disk folder %v after its start", span.Round(100*time.Microsecond))
	rounds := 5000
	if !trouble {
		rounds = 3
	}
	for round, began := 1, time.Now(); round <= rounds && time.Since(began) < founderLimit; round++ {
		code, err := founderRound(rec, round, trouble, time.Duration(rand.Int64N(int64(span+span/4))))
		if err != nil {
			return rec.failed(err)
		}
		if code != held {
			return code
		}
	}
	return held
}

// startSpan returns how long a controller takes to set up its disk folder at its first start.
func startSpan(rec *record) (time.Duration, error) {
	m, err := newMesh(rec)
	if err != nil {
		return 0, err
	}
	defer m.stopAll()
	began := time.Now()
	for _, x := range m.cores {
		if err := m.start(x, true); err != nil {
			return 0, err
		}
	}
	for {
		entries, err := os.ReadDir(m.dataDir(m.cores[0]))
		if err == nil && len(entries) >= 3 { // lock, log, identity
			if _, err := os.Stat(filepath.Join(m.dataDir(m.cores[0]), "identity")); err == nil {
				return time.Since(began), nil
			}
		}
		if time.Since(began) > 20*time.Second {
			return 0, errNoAck
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// founderRound plays one installation: first start, kill of all controllers after the delay, start again, and the first
// configuration.
func founderRound(rec *record, round int, trouble bool, delay time.Duration) (int, error) {
	m, err := newMesh(rec)
	if err != nil {
		return failed, err
	}
	defer m.stopAll()
	for _, x := range m.cores {
		if err := m.start(x, true); err != nil {
			return failed, err
		}
	}
	if !trouble {
		return held, m.replaceConfig(0, uploadConfig(1, oldLimit), 30*time.Second)
	}
	time.Sleep(delay)
	for _, x := range m.cores {
		x.signal(syscall.SIGKILL)
	}
	for _, x := range m.cores {
		<-x.done
	}
	if !m.interrupted() {
		return held, nil // saves the time of a start that works
	}
	time.Sleep(founderRestart)
	for _, x := range m.cores {
		if err := m.start(x, true); err != nil {
			return failed, err
		}
	}
	code := held
	for _, x := range m.cores {
		if ends := m.endsOf(x); ends == startAttempts {
			rec.printf("round %d: all controllers killed %v after their first start; %s then ends by itself at each of %d starts: %s",
				round, delay.Round(100*time.Microsecond), x.name, ends, m.logTail(x, 1))
			rec.printf("Fault: a program doesn't start")
			code = broken
		}
	}
	return code, nil
}

// interrupted reports whether the kill has struck while a controller set up its data folder.
func (m *mesh) interrupted() bool {
	for _, x := range m.cores {
		entries, err := os.ReadDir(m.dataDir(x))
		if err != nil || len(entries) == 0 {
			continue
		}
		if _, err := os.Stat(filepath.Join(m.dataDir(x), "identity")); err != nil {
			return true
		}
	}
	return false
}

// endsOf returns how often the process of a controller ends by itself before it listens. It starts it again each time.
func (m *mesh) endsOf(x *machine) int {
	for ends := 0; ; {
		deadline := time.Now().Add(startLimit)
		for !m.listens(x) {
			if x.ended(10 * time.Millisecond) {
				break
			}
			if time.Now().After(deadline) {
				return ends
			}
		}
		if !x.ended(0) {
			return ends
		}
		if ends++; ends == startAttempts {
			return ends
		}
		time.Sleep(founderRestart)
		if err := m.start(x, true); err != nil {
			return ends
		}
	}
}
