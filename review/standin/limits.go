package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["limits"] = raisedLimit }

const (
	keptConnections = 12
	smallLimit      = 64 << 10  // MaxBodyBytes before the change
	raisedLimitSize = 256 << 10 // MaxBodyBytes after the change
	allowedDenials  = 5         // plus one in 500 of all requests
)

// keptConnection is a connection that a requester keeps for many requests.
type keptConnection struct {
	conn net.Conn
	r    *bufio.Reader
}

// ask sends one request on a kept connection and returns its answer.
func (k keptConnection) ask(q request) answer {
	_ = k.conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	sendErr := make(chan error, 1)
	go func() { sendErr <- q.send(k.conn) }()
	return receive(k.r, q.method)
}

// raisedLimit keeps connections, waits until a change of the configuration is in force, and sends one request on each.
// The disruption is that the change raises MaxBodyBytes; the requests use the new limit.
func raisedLimit(rec *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in, err := startInstallation(ctx, rec, uploadConfig(1, smallLimit), "/read/x", nil, counter, ledger)
	if err != nil {
		return rec.failed(err)
	}
	defer in.stopAll()
	addr := in.addr(in.sidecars[0], "outbound")
	var kept []keptConnection
	for i := range keptConnections {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return rec.failed(err)
		}
		defer conn.Close()
		k := keptConnection{conn, bufio.NewReader(conn)}
		q := request{id: fmt.Sprintf("first-%d", i), method: http.MethodPost, path: "/upload/x", deadline: 2 * time.Second, size: smallLimit, fill: fillPattern}
		if a := k.ask(q); a.err != nil || a.status != http.StatusOK || a.closes {
			return rec.failed(fmt.Errorf("%s gets %s", q.id, a))
		}
		kept = append(kept, k)
	}
	size := int64(smallLimit)
	if trouble {
		if err := in.replaceConfig(1, uploadConfig(2, raisedLimitSize), 10*time.Second); err != nil {
			return rec.failed(err)
		}
		size = 2 * smallLimit
	}
	time.Sleep(4 * time.Second) // twice ConfigApplyS, and well below four fifths of IdleTimeoutS
	refused := 0
	for i, k := range kept {
		q := request{id: fmt.Sprintf("second-%d", i), method: http.MethodPost, path: "/upload/x", deadline: 2 * time.Second, size: size, fill: fillPattern}
		a := k.ask(q)
		rec.printf("requester: %s, %d bytes on a kept connection, gets %s, ran %d times", q.id, size, a, len(in.runsOf(q.id)))
		if a.status/100 == 4 {
			refused++
		}
		q.id = fmt.Sprintf("new-%d", i)
		if a := do(addr, q); a.status != http.StatusOK {
			return rec.failed(fmt.Errorf("%s, on a new connection, gets %s", q.id, a))
		}
	}
	rec.printf("%d of %d requests on kept connections were refused; all %d of the same size on new connections were served", refused, len(kept), len(kept))
	if refused > 0 {
		rec.printf("CONFIG: requests sent later than ConfigApplyS after the ack are handled as only the older version allows")
	}
	if refused > allowedDenials+3*keptConnections/500 {
		rec.printf("DENIED: more than 5 + one in 500 of all requests")
	}
	if refused > 0 {
		return broken
	}
	return held
}
