package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// get reads the configuration from one machine of the core.
func (m *mesh) get(name string, limit time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(name, portControl)+"/api/Config.Get", nil)
	if err != nil {
		return 0, err.Error()
	}
	resp, err := plain.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// spareCase adds a fourth machine to the core, removes another one for good 10 s later, and takes the disk of a third one 1 s after
// that. The other two have their disks all the time.
func spareCase(m *mesh, trouble bool) ([]string, error) {
	gap := time.Second
	if text := os.Getenv("GAP"); text != "" { // for trials of other gaps
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, err
		}
		gap = d
	}
	const (
		successorTime = 10 * time.Second // RecoveryS is 4
		recoverTime   = 30 * time.Second // RecoverS is 15
	)
	if err := m.startSmall([]string{"d1"}, "huvo11a"); err != nil {
		return nil, err
	}
	s, err := m.newServer("d1", "huvo11a", func(*http.Request) time.Duration { return 5 * time.Millisecond })
	if err != nil {
		return nil, err
	}
	defer s.stop()
	if _, err := m.replace("r0", keyConfig("r3", ""), 20*time.Second); err != nil {
		return nil, err
	}
	if err := m.awaitServing([]string{"d1"}, keyHost, keyPath); err != nil {
		return nil, err
	}
	m.add("c4", "controller", "buk", "")
	m.seeds = []string{"c1", "c2", "c4"}
	if err := m.start("c4", false); err != nil {
		return nil, err
	}
	time.Sleep(successorTime)
	if status, _ := m.get("c4", 2*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the successor answers a read with %d after %v", status, successorTime)
	}
	want := keyConfig("r5", "")
	if _, err := m.replace("r3", want, 10*time.Second); err != nil {
		return nil, err
	}
	if trouble && os.Getenv("VARIANT") == "two" { // for a trial: a second machine is removed too, and no disk is lost
		m.add("c5", "controller", "dalseo", "")
		if err := m.start("c5", false); err != nil {
			return nil, err
		}
		time.Sleep(successorTime)
		m.signal("c3", syscall.SIGKILL)
		time.Sleep(gap)
		m.signal("c2", syscall.SIGKILL)
	} else if trouble {
		m.signal("c3", syscall.SIGKILL) // removed permanently, without SIGTERM
		<-m.machines["c3"].done
		time.Sleep(gap)
		m.signal("c2", syscall.SIGKILL)
		<-m.machines["c2"].done
		if err := os.RemoveAll(filepath.Join(m.dir, "data-c2")); err != nil {
			return nil, err
		}
		m.rec.add("the disk of c2 is lost")
		time.Sleep(500 * time.Millisecond)
		if err := m.start("c2", false); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	for time.Since(back) < recoverTime {
		for _, name := range []string{"c1", "c2", "c4", "c5"} {
			if m.machines[name] == nil {
				continue
			}
			status, text := m.get(name, 2500*time.Millisecond)
			m.rec.add("operator: Config.Get on %s %.1f s after all are back: %d", name, time.Since(back).Seconds(), status)
			if status == http.StatusOK && text == want {
				if _, err := m.replace("r5", keyConfig("r7", ""), 10*time.Second); err != nil {
					return []string{fmt.Sprintf("CONFIG: r5 can be read, and no further change is acknowledged: %v", err)}, nil
				}
				return nil, nil
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return []string{fmt.Sprintf("CONFIG: r5, which was acknowledged, can't be read back from any machine for %v after all are back", recoverTime)}, nil
}
