package forwarder

import (
	"context"
	"net/http"
	"time"

	"bluebellhoist/core/accountant"
	"bluebellhoist/daemon/courier"
)

// heldRequest is a request whose memory is accounted for while it is handled: its header and the part of its body that is
// buffered.
type heldRequest struct {
	*http.Request // its context ends if the memory has to be released
	holder        *accountant.Holder
	cancel        context.CancelFunc
}

// hold accounts for the memory of a request. The result must be released at the end of the request.
func (f *Forwarder) hold(w http.ResponseWriter, r *http.Request, bufferLimit int64) (*heldRequest, *answer) {
	ctx, cancel := context.WithCancel(r.Context())
	control := http.NewResponseController(w)
	h := &heldRequest{Request: r.WithContext(ctx), cancel: cancel}
	h.holder = f.account.Open(r.RemoteAddr, func() {
		cancel()
		_ = control.SetReadDeadline(time.Unix(1, 0)) // fails only for response writers that are not from net/http
	})
	buffered := bufferLimit
	if r.ContentLength >= 0 {
		buffered = min(r.ContentLength, bufferLimit)
	}
	if err := h.holder.Grow(ctx, buffered+courier.HeaderBytes(r.Header)); err != nil {
		h.release()
		return nil, errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "%v", err)
	}
	return h, nil
}

func (h *heldRequest) release() {
	h.holder.Close()
	h.cancel()
}

// bodyError returns the response to a request whose body could not be read.
func (h *heldRequest) bodyError(err error) *answer {
	if h.holder.IsShed() {
		return errorResponse(http.StatusServiceUnavailable, OutcomeNotRun, "%v", accountant.ErrShed)
	}
	return errorResponse(http.StatusBadRequest, OutcomeNotRun, "request body: %v", err)
}
