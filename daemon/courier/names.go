package courier

// Names are the headers that daemons share with callers and upstreams. An empty name means that there is no such header.
type Names struct {
	Attempt  string // identifies one attempt of a caller; answers of upstreams repeat it
	Deadline string // milliseconds that the sender of a call will wait
	Target   string // identity of the upstream that a call is meant for; another one refuses it
	NotRun   string // on an answer of an upstream that did not run the call
	Proof    string // on every successful answer of an upstream
	Caller   string // service of the VM on which a call began
}

// DefaultNames are the names of the product's own interface.
func DefaultNames() Names {
	return Names{
		Attempt: "Bluebell-Attempt", Deadline: "Bluebell-Deadline", Target: "Bluebell-Target", NotRun: "Bluebell-Not-Run",
		Caller: "Bluebell-Caller",
	}
}
