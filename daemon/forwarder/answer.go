package forwarder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
)

// errBroken reports an answer that ended before it was whole.
var errBroken = errors.New("broken answer")

// answer is a response that is buffered up to maxBuffer bytes.
type answer struct {
	status  int
	header  http.Header
	head    []byte
	rest    io.ReadCloser // what follows head; nil if head is whole
	trailer *http.Header  // filled at the end of the body
}

// readAnswer buffers the first bytes of a response and closes it if it is whole.
func readAnswer(resp *http.Response) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: resp.Header, trailer: &resp.Trailer}
	if err := checkFraming(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	removeHopByHop(a.header)
	var buffer bytes.Buffer
	if resp.ContentLength > 0 && resp.Request.Method != http.MethodHead {
		buffer.Grow(int(min(resp.ContentLength, maxBuffer)) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(resp.Body, maxBuffer+1))
	if err != nil {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: %v", errBroken, err)
	}
	a.head = buffer.Bytes()
	if n > maxBuffer {
		a.rest = resp.Body
		return a, nil
	}
	resp.Body.Close()
	return a, nil
}

// checkFraming refuses answers whose end cannot be told from a broken connection.
func checkFraming(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return fmt.Errorf("%w: status %d without an answer", errBroken, resp.StatusCode)
	}
	delimited := resp.ProtoMajor > 1 || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
	if !delimited && allowsBody(resp.Request.Method, resp.StatusCode) {
		return fmt.Errorf("%w: neither a length nor chunks", errBroken)
	}
	return nil
}

func allowsBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// close gives up what was not read.
func (a *answer) close() {
	if a.rest != nil {
		a.rest.Close()
	}
}

// write sends the answer to w. It returns errBroken if the answer broke off before its end; the caller must then abort
// the connection, so that the part that was sent does not look complete.
func (a *answer) write(w http.ResponseWriter, method string) error {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	a.announceTrailer(h)
	if a.rest == nil && allowsBody(method, a.status) && len(h["Trailer"]) == 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.head); err != nil && allowsBody(method, a.status) {
		return fmt.Errorf("answer not delivered: %w", err)
	}
	if a.rest != nil {
		if err := a.copyRest(w); err != nil {
			return err
		}
	}
	a.writeTrailer(h)
	return nil
}

func (a *answer) copyRest(w io.Writer) error {
	defer a.rest.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.rest.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return fmt.Errorf("answer not delivered: %w", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %v", errBroken, err)
		}
	}
}

func (a *answer) announceTrailer(h http.Header) {
	if a.trailer == nil {
		return
	}
	courier.RemoveOwn(*a.trailer)
	for name := range *a.trailer {
		h.Add("Trailer", name)
		h.Del("Content-Length") // HTTP/1.1 has no trailers after a body of stated length
	}
}

func (a *answer) writeTrailer(h http.Header) {
	if a.trailer == nil {
		return
	}
	courier.RemoveOwn(*a.trailer)
	announced := h["Trailer"]
	for name, values := range *a.trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// report is the JSON body of an answer that a daemon itself gives.
type report struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome,omitempty"`
	State   string `json:"state,omitempty"`
	Status  int    `json:"status,omitempty"`
}

// refusal returns an answer by the daemon itself.
func refusal(status int, outcome, format string, args ...any) *answer {
	return newReport(status, report{Error: fmt.Sprintf(format, args...), Outcome: outcome})
}

func newReport(status int, rep report) *answer {
	data, err := json.Marshal(rep)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	a := &answer{status: status, header: http.Header{"Content-Type": {"application/json"}}, head: append(data, '\n')}
	if rep.Outcome != "" {
		a.header.Set(HeaderOutcome, rep.Outcome)
	}
	return a
}

// replay returns the stored answer of a call that already ran, or a conflict if its body was not stored.
func replay(v wire.Verdict) *answer {
	if !v.Whole {
		return newReport(http.StatusConflict, report{
			Error: "the call already ran and its answer was not stored", State: v.State, Status: v.Status,
		})
	}
	a := &answer{status: v.Status, header: http.Header{HeaderReplayed: {"true"}}, head: v.Body}
	if v.Kind != "" {
		a.header.Set("Content-Type", v.Kind)
	}
	return a
}
