package replicator

import (
	"fmt"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// compressionThreshold is the encoded size in bytes at which commands are compressed. Smaller commands gain nothing.
const compressionThreshold = 1 << 10

// compressCommand compresses a large command. The time of the command stays uncompressed, since the leader sets it.
func compressCommand(cmd wire.Command) (wire.Command, error) {
	data, err := encoder.Marshal(cmd)
	if err != nil {
		return cmd, fmt.Errorf("%w: %w", ErrInvariant, err)
	}
	if len(data) > maxCommandBytes {
		return cmd, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(data), maxCommandBytes)
	}
	if len(data) < compressionThreshold {
		return cmd, nil
	}
	compressed, err := encoder.Deflate(data)
	if err != nil {
		return cmd, fmt.Errorf("%w: %w", ErrInvariant, err)
	}
	return wire.Command{At: cmd.At, Packed: compressed}, nil
}

// decodeCommand decodes the command of an entry and returns it with its uncompressed encoded size.
func decodeCommand(data []byte) (wire.Command, int, error) {
	var cmd wire.Command
	if err := encoder.Unmarshal(data, &cmd); err != nil || cmd.Packed == nil {
		return cmd, len(data), err
	}
	plain, err := encoder.Inflate(cmd.Packed)
	if err != nil {
		return cmd, 0, err
	}
	at := cmd.At
	cmd = wire.Command{}
	err = encoder.Unmarshal(plain, &cmd)
	cmd.At = at
	return cmd, len(plain), err
}
