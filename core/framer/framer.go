// Package framer sends and receives the frames of a daemon session over a WebSocket connection.
package framer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/coder/websocket"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

const (
	// HeartbeatInterval is the heartbeat interval of a session, in each direction.
	HeartbeatInterval = 500 * time.Millisecond
	// ReceiveTimeout is the time without received data after which a session is closed. It lets a daemon receive changes
	// again within 3 s after a partition or after its connection stops carrying data.
	ReceiveTimeout = 1500 * time.Millisecond

	// writeTimeout is the time that a write of up to chunkBytes may take. A large frame may take longer as a whole: a snapshot of
	// 32,000 routes needs several seconds on a link of 2 Mbit/s.
	writeTimeout = 1500 * time.Millisecond
	chunkBytes   = 16 << 10
)

// ErrSession reports a frame that cannot be sent, received, encoded or decoded.
var ErrSession = errors.New("session failed")

// Framer sends and receives frames. One goroutine may send while another one receives.
type Framer struct {
	conn       *websocket.Conn
	onSent     func(bytes int)
	onReceived func(bytes int)
	onProgress func()
}

// Option configures a Framer.
type Option func(*Framer)

// WithCounters sets functions that are called with the size of each frame sent and received.
func WithCounters(onSent, onReceived func(bytes int)) Option {
	return func(f *Framer) { f.onSent, f.onReceived = onSent, onReceived }
}

// WithProgress sets a function that is called whenever data has been received, of a frame that may not be complete yet.
func WithProgress(onProgress func()) Option {
	return func(f *Framer) { f.onProgress = onProgress }
}

// WithLimit sets the maximum size of a received frame in bytes.
func WithLimit(bytes int64) Option {
	return func(f *Framer) { f.conn.SetReadLimit(bytes) }
}

// New returns a framer that uses conn.
func New(conn *websocket.Conn, opts ...Option) *Framer {
	f := &Framer{conn: conn, onSent: func(int) {}, onReceived: func(int) {}, onProgress: func() {}}
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

// compressionThreshold is the encoded size in bytes at which frames are compressed. Smaller frames gain nothing.
const compressionThreshold = 1 << 10

// Encode returns the encoding of a frame. Large frames are compressed, since all daemons request the whole configuration at
// once when they restart together.
func Encode(frame wire.Frame) ([]byte, error) {
	data, err := encoder.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSession, err)
	}
	if len(data) < compressionThreshold {
		return data, nil
	}
	packed, err := encoder.Deflate(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSession, err)
	}
	if data, err = encoder.Marshal(wire.Frame{Packed: packed}); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSession, err)
	}
	return data, nil
}

// Decode returns the frame that is encoded in data, decompressed if necessary.
func Decode(data []byte) (wire.Frame, error) {
	var frame wire.Frame
	if err := encoder.Unmarshal(data, &frame); err != nil {
		return frame, fmt.Errorf("%w: %v", ErrSession, err)
	}
	if frame.Packed == nil {
		return frame, nil
	}
	plain, err := encoder.Inflate(frame.Packed)
	if err != nil {
		return frame, fmt.Errorf("%w: %v", ErrSession, err)
	}
	frame = wire.Frame{}
	if err := encoder.Unmarshal(plain, &frame); err != nil {
		return frame, fmt.Errorf("%w: %v", ErrSession, err)
	}
	return frame, nil
}

// SendEncoded sends one frame that is already encoded. It fails if the connection takes none of its data for writeTimeout.
func (f *Framer) SendEncoded(ctx context.Context, data []byte) error {
	ctx, guard := guardStall(ctx, writeTimeout)
	defer guard.stop()
	if err := f.write(ctx, data, guard.progress); err != nil {
		return newSessionError(ctx, err)
	}
	f.onSent(len(data))
	return nil
}

// write sends one message, in chunks if it is large.
func (f *Framer) write(ctx context.Context, data []byte, onChunk func()) error {
	if len(data) <= chunkBytes {
		return f.conn.Write(ctx, websocket.MessageBinary, data)
	}
	w, err := f.conn.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for chunk := range slices.Chunk(data, chunkBytes) {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		onChunk()
	}
	return w.Close()
}

// Receive returns the next frame, or an error if no data of it arrives for ReceiveTimeout.
func (f *Framer) Receive(ctx context.Context) (wire.Frame, error) {
	ctx, guard := guardStall(ctx, ReceiveTimeout)
	defer guard.stop()
	data, err := f.read(ctx, func() {
		guard.progress()
		f.onProgress()
	})
	if err != nil {
		return wire.Frame{}, newSessionError(ctx, err)
	}
	f.onReceived(len(data))
	return Decode(data)
}

// read returns the next message.
func (f *Framer) read(ctx context.Context, onRead func()) ([]byte, error) {
	_, r, err := f.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(progressReader{r, onRead})
}

// newSessionError wraps an error of the connection, and names the reason if the context has ended.
func newSessionError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("%w: %v", ErrSession, err)
}

// Close closes the connection immediately, without a closing handshake.
func (f *Framer) Close() {
	_ = f.conn.CloseNow() // the connection may already be closed
}
