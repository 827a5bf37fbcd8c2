package wire

// States of a claim, in Verdict and Grant.
const (
	Granted  = "granted"  // this attempt may run the call
	Running  = "running"  // another attempt may have run the call; its outcome is unknown
	Done     = "done"     // the call ran; the answer may be stored
	Released = "released" // this attempt was given up before it ran
	Mismatch = "mismatch" // the key was used with another request
	Expired  = "expired"  // the key is too old to tell whether the call ran
	Invalid  = "invalid"  // the key is no UUIDv7 or lies in the future
)

// States of a Member.
const (
	Alive   = "alive"
	Suspect = "suspect" // no answer to probes; dead unless it refutes that in time
	Dead    = "dead"
	Left    = "left" // planned stop
)
