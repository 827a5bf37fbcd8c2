package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = departed }

const (
	drainTime     = 2 * time.Second // DrainS
	pingDelay     = 1800 * time.Millisecond
	stableTime    = 3 * time.Second // StableS
	servesOnFor   = 9 * time.Second // how long the backend goes on serving after its deregistration
	requestPeriod = 50 * time.Millisecond

	drainRequesters = 8
)

// delayedProxy listens on a free port, and forwards the one connection that it accepts to the given address after a
// delay. It returns its own address.
func delayedProxy(rec *record, to string, delay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		defer listener.Close()
		in, err := listener.Accept()
		if err != nil {
			return
		}
		defer in.Close()
		time.Sleep(delay)
		out, err := net.DialTimeout("tcp", to, time.Second)
		if err != nil {
			rec.printf("proxy: the delayed ping could not be delivered: %v", err)
			return
		}
		defer out.Close()
		_ = out.SetDeadline(time.Now().Add(2 * time.Second))
		buf := make([]byte, 4<<10)
		_ = in.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, _ := in.Read(buf)
		_, _ = out.Write(buf[:n])
		n, err = out.Read(buf)
		rec.printf("proxy: delivers the delayed ping; the daemon answers %.15q (%v)", buf[:n], err)
	}()
	return listener.Addr().String(), nil
}

// departed lets a backend deregister. The disruption is that its daemon's process is killed and started again right after
// the ack, and that the last ready ping, sent before the deregistration, arrives late.
func departed(rec *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cfg := config{version: 1, services: []string{counter, ledger}, maxBody: oldLimit, routes: []route{
		{name: "r-read", prefix: "/read/", kind: "idempotent", service: ledger, timeoutS: 2, attempts: 2},
	}}
	in, err := startInstallation(ctx, rec, cfg, "/read/x", nil, counter, ledger, ledger, counter, counter, counter)
	if err != nil {
		return rec.failed(err)
	}
	defer in.stopAll()
	leaving, machine := in.backends[1], in.sidecars[1]
	leaving.stopBeats()
	if trouble {
		proxy, err := delayedProxy(rec, in.addr(machine, "control"), pingDelay)
		if err != nil {
			return rec.failed(err)
		}
		seq := leaving.nextSequence()
		rec.printf("backend %s: sends a ready ping, sequence %d, which is held up for %v on its way", leaving.id, seq, pingDelay)
		go leaving.postBeat(context.Background(), proxy, seq)
		time.Sleep(50 * time.Millisecond)
	}
	if err := leaving.deregister(); err != nil {
		return rec.failed(err)
	}
	acked := time.Now()
	rec.printf("backend %s: deregisters, acknowledged by the daemon of %s", leaving.id, machine.name)
	started := acked
	if trouble {
		machine.signal(syscall.SIGKILL)
		<-machine.done
		time.Sleep(300 * time.Millisecond)
		if err := in.start(machine, false); err != nil {
			return rec.failed(err)
		}
		started = time.Now()
		rec.printf("platform: the daemon of %s was killed and is started again", machine.name)
	}
	var requesters sync.WaitGroup
	for k := range drainRequesters {
		requesters.Go(func() {
			for i := 0; time.Since(acked) < servesOnFor; i++ {
				time.Sleep(requestPeriod)
				do(in.addr(in.sidecars[0], "outbound"), request{id: fmt.Sprintf("q-%d-%d", k, i), method: http.MethodGet, path: "/read/x", deadline: time.Second})
			}
		})
	}
	requesters.Wait()
	// Counted are requests that were taken and sent on by machines in touch.
	inTouch := started.Add(stableTime + 500*time.Millisecond)
	late := 0
	for _, r := range leaving.allRuns() {
		if r.began.After(acked.Add(drainTime)) && r.began.After(inTouch) {
			late++
			rec.printf("backend %s runs %s %v after its deregistration was acknowledged", r.backend, r.id, r.began.Sub(acked).Round(time.Millisecond))
		}
	}
	rec.printf("%d requests reached backend %s later than DrainS after the ack, through machines in touch", late, leaving.id)
	if late > 0 {
		rec.printf("DRAIN: a backend that is gone still gets requests")
		return broken
	}
	return held
}

// stopBeats ends the heartbeats of a backend.
func (b *backend) stopBeats() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quiet = true
}

func (b *backend) nextSequence() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return b.seq
}

// deregister sends the deregistration and returns once it is acknowledged.
func (b *backend) deregister() error {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+b.mesh.addr(b.machine, "control")+"/api/Instances.Deregister/"+b.id, "application/json", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("deregistration: %s", resp.Status)
	}
	return nil
}

func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []run
	for _, x := range b.runs {
		all = append(all, *x)
	}
	return all
}
