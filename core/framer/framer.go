// Package framer carries the frames of a daemon session over a WebSocket connection.
package framer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coder/websocket"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

const (
	// BeatInterval is the time between two beats on a session, in each direction.
	BeatInterval = 500 * time.Millisecond
	// SilenceLimit is the time without a frame after which a session is closed. With it a daemon follows changes again
	// within 3 s after a partition or a silent connection.
	SilenceLimit = 1500 * time.Millisecond

	writeTimeout = 1500 * time.Millisecond
)

// ErrSession reports a session that the other side or the network ended.
var ErrSession = errors.New("session failed")

// Framer sends and receives frames. One goroutine may send while another receives.
type Framer struct {
	conn *websocket.Conn
	sent func(bytes int)
	got  func(bytes int)
}

// Option sets up a Framer.
type Option func(*Framer)

// WithCounters sets functions that are called with the size of each frame sent and received.
func WithCounters(sent, got func(bytes int)) Option {
	return func(f *Framer) { f.sent, f.got = sent, got }
}

// WithLimit sets the largest frame that is received, in bytes.
func WithLimit(bytes int64) Option {
	return func(f *Framer) { f.conn.SetReadLimit(bytes) }
}

// New returns a framer on conn.
func New(conn *websocket.Conn, opts ...Option) *Framer {
	f := &Framer{conn: conn, sent: func(int) {}, got: func(int) {}}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Send encodes and sends one frame.
func (f *Framer) Send(ctx context.Context, frame wire.Frame) error {
	data, err := Encode(frame)
	if err != nil {
		return err
	}
	return f.SendEncoded(ctx, data)
}

// packFrom is the encoded size in bytes from which a frame is compressed. Small frames gain nothing.
const packFrom = 1 << 10

// Encode returns the bytes of a frame, compressed if it is large: after a common restart all daemons ask for the whole
// configuration at once.
func Encode(frame wire.Frame) ([]byte, error) {
	data, err := encoder.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSession, err)
	}
	if len(data) < packFrom {
		return data, nil
	}
	packed, err := encoder.Pack(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSession, err)
	}
	if data, err = encoder.Marshal(wire.Frame{Packed: packed}); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSession, err)
	}
	return data, nil
}

// Decode returns the frame in data.
func Decode(data []byte) (wire.Frame, error) {
	var frame wire.Frame
	if err := encoder.Unmarshal(data, &frame); err != nil {
		return frame, fmt.Errorf("%w: %v", ErrSession, err)
	}
	if frame.Packed == nil {
		return frame, nil
	}
	plain, err := encoder.Unpack(frame.Packed)
	if err != nil {
		return frame, fmt.Errorf("%w: %v", ErrSession, err)
	}
	frame = wire.Frame{}
	if err := encoder.Unmarshal(plain, &frame); err != nil {
		return frame, fmt.Errorf("%w: %v", ErrSession, err)
	}
	return frame, nil
}

// SendEncoded sends one frame that is encoded already.
func (f *Framer) SendEncoded(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := f.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("%w: %v", ErrSession, err)
	}
	f.sent(len(data))
	return nil
}

// Receive returns the next frame, or an error after SilenceLimit without one.
func (f *Framer) Receive(ctx context.Context) (wire.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, SilenceLimit)
	defer cancel()
	_, data, err := f.conn.Read(ctx)
	if err != nil {
		return wire.Frame{}, fmt.Errorf("%w: %v", ErrSession, err)
	}
	f.got(len(data))
	return Decode(data)
}

// Close ends the connection at once.
func (f *Framer) Close() {
	_ = f.conn.CloseNow() // it may be closed already
}
