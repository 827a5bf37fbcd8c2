package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

func init() { cases["large"] = largeBodies }

const (
	mib = 1 << 20
	// oldLimit and newLimit are MaxBodyBytes before and after the change of the configuration.
	oldLimit, newLimit = 64 * mib, 72 * mib
)

// uploadConfig has a route for uploads and one for reads, both to the second machine's service.
func uploadConfig(version int, maxBody int64) config {
	return config{version: version, services: []string{counter, ledger}, maxBody: maxBody, routes: []route{
		{name: "r-upload", prefix: "/upload/", kind: "non_idempotent", service: ledger, timeoutS: 30, attempts: 1},
		{name: "r-back", prefix: "/back/", kind: "non_idempotent", service: counter, timeoutS: 30, attempts: 1},
		{name: "r-read", prefix: "/read/", kind: "idempotent", service: ledger, timeoutS: 2, attempts: 2},
	}}
}

// largeBodies sends a body as long as the configuration allows through a daemon to the backend of another machine. The
// disruption is a configuration that raises MaxBodyBytes above 64 MiB.
func largeBodies(rec *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in, err := startInstallation(ctx, rec, uploadConfig(1, oldLimit), "/read/x", nil, counter, ledger)
	if err != nil {
		return rec.failed(err)
	}
	defer in.stopAll()
	size := int64(oldLimit)
	if trouble {
		if err := in.replaceConfig(1, uploadConfig(2, newLimit), 10*time.Second); err != nil {
			return rec.failed(err)
		}
		size = newLimit
	}
	time.Sleep(4 * time.Second) // twice ConfigApplyS
	q := request{id: "upload-1", method: http.MethodPost, path: "/upload/x", deadline: 25 * time.Second, size: size, fill: fillPattern}
	want := patternDigest(size)
	rec.printf("requester at %s: sends %s, POST %s, body of %d bytes, digest %s", in.sidecars[0].name, q.id, q.path, size, want)
	a := do(in.addr(in.sidecars[0], "outbound"), q)
	rec.printf("requester: %s gets %s", q.id, a)
	code := held
	for _, r := range in.runsOf(q.id) {
		if r.digest != want || r.size != size {
			rec.printf("UNASKED: backend %s ran %s with another body: %d bytes, digest %s", r.backend, r.id, r.size, r.digest)
			code = broken
		}
	}
	if code == held && a.status != http.StatusOK {
		return failed
	}
	return code
}

// fillPattern fills p with a pattern that depends on the offset.
func fillPattern(p []byte, offset int64) {
	for i := range p {
		at := offset + int64(i)
		p[i] = byte(at) ^ byte(at>>8) ^ byte(at>>16) ^ byte(at>>24)
	}
}

// patternDigest returns the digest of a body with the pattern.
func patternDigest(size int64) string {
	digest := sha256.New()
	buf := make([]byte, 256<<10)
	for at := int64(0); at < size; at += int64(len(buf)) {
		p := buf[:min(int64(len(buf)), size-at)]
		fillPattern(p, at)
		digest.Write(p)
	}
	return hex.EncodeToString(digest.Sum(nil)[:8])
}
