package responder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellhoist/core/echoer"
)

// errNested reports that the next service of a chain gave no correct answer.
var errNested = errors.New("nested call")

// nested calls the next service of the chain through the daemon and checks its answer.
func (r *Responder) nested(ctx context.Context, in *http.Request, w wanted, body []byte) error {
	if w.next == "" {
		return nil
	}
	if !r.calls.IsValid() {
		return fmt.Errorf("%w: no daemon address is set", errNested)
	}
	target := *in.URL
	query := target.Query()
	query.Del("call")
	if w.rest != "" {
		query.Set("call", w.rest)
	}
	target.Scheme, target.Host, target.RawQuery = "http", r.calls.String(), query.Encode()
	out, err := http.NewRequestWithContext(ctx, in.Method, target.String(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", errNested, err)
	}
	out.Host = w.next
	copyHeaders(out.Header, in.Header)
	if end, ok := ctx.Deadline(); ok {
		out.Header.Set(deadlineHeader, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	}
	resp, err := r.client.Do(out)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", errNested, w.next, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", errNested, w.next, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s: %s", errNested, w.next, resp.Status, bytes.TrimSpace(answer))
	}
	request := echoer.New(in.Method, target.RequestURI(), body)
	if w.size >= 0 {
		err = echoer.CheckSized(request, w.size, answer)
	} else {
		_, err = echoer.Check(request, answer)
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errNested, w.next, err)
	}
	return nil
}

// copyHeaders passes on the mesh's headers and the idempotency key. Claims are kept per service and key,
// so that the services of a chain can share a key.
func copyHeaders(out, in http.Header) {
	for name, values := range in {
		if strings.HasPrefix(name, prefix) || name == keyHeader {
			out[name] = values
		}
	}
}
