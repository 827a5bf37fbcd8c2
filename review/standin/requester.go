package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a requester.
type request struct {
	id, method, path string
	deadline         time.Duration
	size             int64 // of the body
	fill             func(p []byte, offset int64)
}

// head returns the request line and the headers of a request.
func (q request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if q.size > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", q.size)
	}
	return text + "\r\n"
}

// send writes a request to a connection.
func (q request) send(w io.Writer) error {
	if _, err := io.WriteString(w, q.head()); err != nil {
		return err
	}
	buf := make([]byte, 256<<10)
	for at := int64(0); at < q.size; at += int64(len(buf)) {
		p := buf[:min(int64(len(buf)), q.size-at)]
		q.fill(p, at)
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// answer is what a requester got.
type answer struct {
	status    int
	signature string
	closes    bool
	body      string
	err       error // no complete answer
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, connection closes: %t", a.status, a.signature, a.closes)
}

// receive reads one answer from a connection.
func receive(r *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), closes: resp.Close, body: string(body)}
}

// do sends one request on a new connection and returns its answer.
func do(addr string, q request) answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	sendErr := make(chan error, 1)
	go func() { sendErr <- q.send(conn) }()
	return receive(bufio.NewReader(conn), q.method)
}

// serves waits until a request through a daemon to the given path succeeds.
func serves(m *mesh, x *machine, path string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i := 0; ; i++ {
		a := do(m.addr(x, "outbound"), request{id: fmt.Sprintf("warm-%s-%d", x.name, i), method: http.MethodGet, path: path, deadline: 2 * time.Second})
		if a.err == nil && a.status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no success through %s: %s", x.name, a)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
