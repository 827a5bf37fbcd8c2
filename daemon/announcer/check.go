package announcer

import (
	"fmt"
	"regexp"

	"golang.org/x/net/http/httpguts"

	"bluebellhoist/core/wire"
)

// maxIDBytes is the longest id of an upstream. Requests name the upstream that they are meant for by it.
const maxIDBytes = 256

var serviceNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// checkUpstream returns an error unless calls can be sent to an upstream and it can be announced to the other members.
func checkUpstream(u wire.Upstream) error {
	addr := u.Address.Addr()
	switch {
	case !serviceNamePattern.MatchString(u.Service):
		return fmt.Errorf("%w: service %q must match %s", ErrInvalid, u.Service, serviceNamePattern)
	case !u.Address.IsValid() || u.Address.Port() == 0 || addr.IsUnspecified() || addr.IsMulticast():
		return fmt.Errorf("%w: address %q must be the IP address and port of the upstream", ErrInvalid, u.Address)
	case len(u.ID) > maxIDBytes || !httpguts.ValidHeaderFieldValue(u.ID):
		return fmt.Errorf("%w: id %.80q must be valid in a header and have at most %d bytes", ErrInvalid, u.ID, maxIDBytes)
	case u.Slots < 1 || u.Slots > wire.MaxSlots:
		return fmt.Errorf("%w: slots %d must be from 1 to %d", ErrInvalid, u.Slots, wire.MaxSlots)
	}
	return nil
}

// checkSequence returns an error if the place of a message is not one that a process can have.
func checkSequence(n sequence) error {
	switch {
	case n.start < 0 || n.start > wire.MaxStart:
		return fmt.Errorf("%w: start %d must be milliseconds since the Unix epoch, at most %d", ErrInvalid, n.start, int64(wire.MaxStart))
	case n.seq > wire.MaxSeq:
		return fmt.Errorf("%w: seq %d must be at most %d", ErrInvalid, n.seq, uint64(wire.MaxSeq))
	}
	return nil
}
