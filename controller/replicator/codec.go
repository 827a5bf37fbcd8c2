package replicator

import (
	"fmt"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// packFrom is the encoded size in bytes from which a command is compressed. Small commands gain nothing.
const packFrom = 1 << 10

// packCommand compresses a large command. The time of the command stays outside, since the leader stamps it.
func packCommand(cmd wire.Command) (wire.Command, error) {
	data, err := encoder.Marshal(cmd)
	if err != nil {
		return cmd, fmt.Errorf("%w: %w", ErrFault, err)
	}
	if len(data) > maxCommand {
		return cmd, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(data), maxCommand)
	}
	if len(data) < packFrom {
		return cmd, nil
	}
	packed, err := encoder.Pack(data)
	if err != nil {
		return cmd, fmt.Errorf("%w: %w", ErrFault, err)
	}
	return wire.Command{At: cmd.At, Packed: packed}, nil
}

// decodeCommand returns the command of an entry and its encoded size without compression.
func decodeCommand(data []byte) (wire.Command, int, error) {
	var cmd wire.Command
	if err := encoder.Unmarshal(data, &cmd); err != nil || cmd.Packed == nil {
		return cmd, len(data), err
	}
	plain, err := encoder.Unpack(cmd.Packed)
	if err != nil {
		return cmd, 0, err
	}
	at := cmd.At
	cmd = wire.Command{}
	err = encoder.Unmarshal(plain, &cmd)
	cmd.At = at
	return cmd, len(plain), err
}
