package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryBurst }

const (
	uploadBytes   = 32 * mib // half of MaxBodyBytes
	usualUploads  = 3        // uploads at the same time
	burstUploads  = 5        // 1.7 times the usual ones
	memoryPoll    = 2 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	burstsPerSide = 3
	maxOwnEnds    = 3 // ends of its own in the day on one machine
)

// memoryGuard plays the part of the platform that kills a process which uses more than MemoryMb, and starts it again.
type memoryGuard struct {
	in   *installation
	x    *machine
	peak int64 // in kB, of the current process
	most int64 // in kB, of all processes
	ends int
}

// watch checks the memory of a process until ctx ends.
func (g *memoryGuard) watch(ctx context.Context) {
	for ctx.Err() == nil {
		kb := g.x.statusKB("VmRSS:")
		g.most = max(g.most, kb)
		if kb > memoryMB<<10 {
			g.ends++
			g.in.rec.printf("platform: %s uses %d kB, more than the %d kB of MemoryMb=%d; killed, time %d", g.x.name, kb, memoryMB<<10, memoryMB, g.ends)
			g.x.signal(syscall.SIGKILL)
			<-g.x.done
			time.Sleep(restartDelay)
			if ctx.Err() == nil {
				if err := g.in.start(g.x, false); err != nil {
					g.in.rec.printf("%v", err)
				}
			}
		}
		time.Sleep(memoryPoll)
	}
}

// memoryBurst sends uploads of half the allowed size. The disruption is a burst: 5 at the same time instead of 3.
func memoryBurst(rec *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in, err := startInstallation(ctx, rec, uploadConfig(1, oldLimit), "/read/x", nil, counter, ledger)
	if err != nil {
		return rec.failed(err)
	}
	var watchers sync.WaitGroup
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer in.stopAll()
	defer watchers.Wait()
	defer stopWatching()
	var guards []*memoryGuard
	for _, x := range in.sidecars {
		g := &memoryGuard{in: in, x: x}
		guards = append(guards, g)
		watchers.Go(func() { g.watch(watchCtx) })
	}
	uploads := usualUploads
	if trouble {
		uploads = burstUploads
	}
	// The requesters of the first machine upload to the second one's backend, and the other way round.
	for side, path := range []string{"/upload/x", "/back/x"} {
		for burst := range burstsPerSide {
			in.uploadAtOnce(in.sidecars[side], path, fmt.Sprintf("u-%d-%d", side, burst), uploads)
			if err := in.waitServing(30 * time.Second); err != nil {
				return rec.failed(err)
			}
		}
	}
	ended := 0
	for _, g := range guards {
		rec.printf("%s: %d kB at most, killed %d times for its memory", g.x.name, g.most, g.ends)
		if g.ends >= maxOwnEnds {
			ended++
		}
	}
	if ended >= 2 {
		rec.printf("Fault: processes ended by themselves %d times or more on %d of %d machines, with no impairment there", maxOwnEnds, ended, len(guards))
		return broken
	}
	return held
}

// uploadAtOnce sends uploads at the same time through one daemon and waits for their answers.
func (in *installation) uploadAtOnce(x *machine, path, name string, count int) {
	in.rec.printf("requesters at %s: send %d uploads of %d bytes at once", x.name, count, uploadBytes)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			q := request{id: fmt.Sprintf("%s-%d", name, i), method: http.MethodPost, path: path, deadline: 10 * time.Second, size: uploadBytes, fill: fillPattern}
			a := do(in.addr(x, "outbound"), q)
			in.rec.printf("requester: %s gets %s, ran %d times", q.id, a, len(in.runsOf(q.id)))
		})
	}
	group.Wait()
}

// waitServing waits until all machines are ready and their backends announced.
func (in *installation) waitServing(limit time.Duration) error {
	time.Sleep(2 * restartDelay)
	if err := in.waitReady(limit); err != nil {
		return err
	}
	for _, x := range in.sidecars {
		if err := serves(in.mesh, x, "/read/x", limit); err != nil {
			return err
		}
	}
	time.Sleep(heartbeatInterval)
	return nil
}
