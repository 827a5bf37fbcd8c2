package wire

const (
	// MaxSlots is the largest number of slots of an upstream.
	MaxSlots = 1 << 16
	// MaxStart is the latest start time of a process, in milliseconds since the Unix epoch: in the year 2248. A time in
	// smaller units lies beyond it, and would make all later processes look earlier.
	MaxStart = 1 << 43
	// MaxSeq is the largest sequence number of a report. Larger ones are not exact in JSON.
	MaxSeq = 1 << 53
)
