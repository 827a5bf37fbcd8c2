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

	"bluebellhoist/core/inspector"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
)

// errIncomplete reports a response that ended before it was complete.
var errIncomplete = errors.New("incomplete response")

// answer is an HTTP response of which up to maxBufferBytes are buffered.
type answer struct {
	status   int
	header   http.Header
	buffered []byte
	rest     io.ReadCloser // unread part of the body; nil if the whole body is buffered
	trailer  *http.Header  // filled when the body has been read to its end
}

// readAnswer buffers the start of a response that an inspector.Transport has returned. It closes the response if the whole
// body fits into the buffer.
func readAnswer(resp *http.Response) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: resp.Header, trailer: &resp.Trailer}
	removeHopByHop(a.header)
	var buffer bytes.Buffer
	if resp.ContentLength > 0 && resp.Request.Method != http.MethodHead {
		buffer.Grow(int(min(resp.ContentLength, maxBufferBytes)) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(resp.Body, maxBufferBytes+1))
	if err != nil {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: %v", errIncomplete, err)
	}
	a.buffered = buffer.Bytes()
	if n > maxBufferBytes {
		a.rest = resp.Body
		return a, nil
	}
	resp.Body.Close()
	return a, nil
}

// close closes the unread part of the body, if any.
func (a *answer) close() {
	if a.rest != nil {
		a.rest.Close()
	}
}

// write sends the response to w. It returns errIncomplete if the body ends early; the caller must then abort the
// connection, so that the part already sent does not look complete.
func (a *answer) write(w http.ResponseWriter, method string) error {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from guessing a type
	}
	a.announceTrailer(h)
	if a.rest == nil && inspector.AllowsBody(method, a.status) && len(h["Trailer"]) == 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.buffered)))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.buffered); err != nil && inspector.AllowsBody(method, a.status) {
		return fmt.Errorf("write response: %w", err)
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
				return fmt.Errorf("write response: %w", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %v", errIncomplete, err)
		}
	}
}

func (a *answer) announceTrailer(h http.Header) {
	if a.trailer == nil {
		return
	}
	courier.RemoveDaemonHeaders(*a.trailer)
	for name := range *a.trailer {
		h.Add("Trailer", name)
		h.Del("Content-Length") // HTTP/1.1 allows trailers only with chunked encoding
	}
}

func (a *answer) writeTrailer(h http.Header) {
	if a.trailer == nil {
		return
	}
	courier.RemoveDaemonHeaders(*a.trailer)
	announced := h["Trailer"]
	for name, values := range *a.trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// errorBody is the JSON body of a response that the daemon generates itself.
type errorBody struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome,omitempty"`
	State   string `json:"state,omitempty"`
	Status  int    `json:"status,omitempty"`
}

// errorResponse returns an error response that the daemon generates itself.
func errorResponse(status int, outcome, format string, args ...any) *answer {
	return newErrorAnswer(status, errorBody{Error: fmt.Sprintf(format, args...), Outcome: outcome})
}

func newErrorAnswer(status int, body errorBody) *answer {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: a struct of strings and numbers always encodes
	}
	a := &answer{status: status, header: http.Header{"Content-Type": {"application/json"}}, buffered: append(data, '\n')}
	if body.Outcome != "" {
		a.header.Set(HeaderOutcome, body.Outcome)
	}
	return a
}

// replayedAnswer returns the stored response of a call that already ran, or a conflict if its body was not stored or if what
// was stored is not a valid response.
func replayedAnswer(verdict wire.Verdict) *answer {
	if !verdict.Complete || inspector.CheckStored(verdict.Status, verdict.Kind) != nil {
		return newErrorAnswer(http.StatusConflict, errorBody{
			Error: "the call already ran and its answer was not stored", State: verdict.State, Status: verdict.Status,
		})
	}
	a := &answer{status: verdict.Status, header: http.Header{HeaderReplayed: {"true"}}, buffered: verdict.Body}
	if verdict.Kind != "" {
		a.header.Set("Content-Type", verdict.Kind)
	}
	return a
}
