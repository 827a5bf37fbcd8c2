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

// callNext calls the next service of the chain through the daemon and checks its answer.
func (r *Responder) callNext(ctx context.Context, in *http.Request, params callParams, body []byte) error {
	if params.nextService == "" {
		return nil
	}
	if !r.daemon.IsValid() {
		return fmt.Errorf("%w: no daemon address is set", errNested)
	}
	target := *in.URL
	query := target.Query()
	query.Del("call")
	if params.remaining != "" {
		query.Set("call", params.remaining)
	}
	target.Scheme, target.Host, target.RawQuery = "http", r.daemon.String(), query.Encode()
	out, err := http.NewRequestWithContext(ctx, in.Method, target.String(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", errNested, err)
	}
	out.Host = params.nextService
	copyHeaders(out.Header, in.Header)
	if end, ok := ctx.Deadline(); ok {
		out.Header.Set(deadlineHeader, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	}
	resp, err := r.client.Do(out)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", errNested, params.nextService, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", errNested, params.nextService, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s: %s", errNested, params.nextService, resp.Status, bytes.TrimSpace(answer))
	}
	request := echoer.New(in.Method, target.RequestURI(), body)
	if params.answerSize >= 0 {
		err = echoer.CheckSized(request, params.answerSize, answer)
	} else {
		_, err = echoer.Check(request, answer)
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errNested, params.nextService, err)
	}
	return nil
}

// copyHeaders copies the headers of the mesh and the idempotency key. The services of a chain can share a key, since
// claims are stored per service and key.
func copyHeaders(out, in http.Header) {
	for name, values := range in {
		if strings.HasPrefix(name, meshHeaderPrefix) || name == keyHeader {
			out[name] = values
		}
	}
}
