package wire

// States of a claim, in Verdict and Grant.
const (
	Granted  = "granted"  // this attempt may run the call
	Running  = "running"  // another attempt may have run the call; its outcome is unknown
	Done     = "done"     // the call ran; the response may be stored
	Released = "released" // this attempt was released before it ran
	Mismatch = "mismatch" // the key was used for a different request
	Expired  = "expired"  // the key is too old to tell whether the call ran
	Invalid  = "invalid"  // the key is not a UUIDv7 or was created in the future
)

// Recorded is the state in the Verdict on a departure: it is in the replicated log.
const Recorded = "recorded"

// States of a Member.
const (
	Alive   = "alive"
	Suspect = "suspect" // did not acknowledge probes; declared dead unless it refutes the suspicion in time
	Dead    = "dead"
	Left    = "left" // planned stop
)
