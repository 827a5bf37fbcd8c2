package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// zeros reads as many zero bytes as it is long.
type zeros struct{ left int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.left)
	clear(p[:n])
	z.left -= n
	return int(n), nil
}

// bodyCase raises MaxBodyBytes to 128 MiB and sends bodies of 110 MiB, one after the other. Without the disruption the bodies have 60 MiB.
func bodyCase(m *mesh, trouble bool) ([]string, error) {
	sidecars := []string{"d1", "d2", "d3"}
	if err := m.startSmall(sidecars, "huvo11a"); err != nil {
		return nil, err
	}
	for _, name := range sidecars {
		s, err := m.newServer(name, "huvo11a", func(*http.Request) time.Duration { return 5 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		defer s.stop()
	}
	longer := func(text string) string {
		return strings.Replace(text, `"idempotent",2,0.6`, `"idempotent",20,5`, 1)
	}
	if _, err := m.replace("r0", longer(keyConfig("r3", "")), 20*time.Second); err != nil {
		return nil, err
	}
	if err := m.awaitServing(sidecars, keyHost, keyPath); err != nil {
		return nil, err
	}
	raised := strings.Replace(longer(keyConfig("r5", "")), `"MaxBodyBytes":67108864`, `"MaxBodyBytes":134217728`, 1)
	acked, err := m.replace("r3", raised, 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	size := int64(110 << 20)
	if !trouble {
		size = 60 << 20
	}
	var violations []string
	served := 0
	for i := range 9 {
		name := sidecars[i%3]
		id := fmt.Sprintf("%s-%04d", name, i)
		at := time.Now()
		status, answer := m.upload(name, id, size)
		m.rec.add("client on %s: request %s with %d bytes sent %.3f s after the ack of r5, answer %d %.60q after %.3f s", name, id, size, at.Sub(acked).Seconds(),
			status, answer, time.Since(at).Seconds())
		if status == http.StatusOK {
			served++
		}
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			violations = append(violations, fmt.Sprintf("DENIED: request %s with a body of %d bytes got %d, MaxBodyBytes is 134217728", id, size, status))
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !trouble && served == 0 {
		return nil, fmt.Errorf("no upload of %d bytes was served", size)
	}
	if len(violations) <= 5 {
		return nil, nil // the rule allows 5 and one in 500
	}
	return violations, nil
}

func (m *mesh) upload(machine, id string, size int64) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.addr(machine, portOutbound)+keyPath, &zeros{size})
	if err != nil {
		return 0, err.Error()
	}
	r.Host, r.ContentLength = keyHost, size
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "15000")
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
