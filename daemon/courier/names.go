package courier

// HeaderNames holds the names of the headers that daemons exchange with callers and upstreams. An empty name means that
// the header is not used.
type HeaderNames struct {
	Attempt   string // ID of one attempt of a caller; the response of the upstream repeats it
	Deadline  string // how long the sender of a call waits for the response, in milliseconds
	Target    string // ID of the upstream that a call is meant for; other upstreams refuse the call
	NotRun    string // set on the response of an upstream that did not run the call
	Signature string // set on every successful response of an upstream
	Caller    string // service of the VM on which the call originated
	Tenant    string // name of the tenant whose key the caller sent
}

// DefaultHeaderNames returns the header names of the product's own interface.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		Attempt: "Bluebell-Attempt", Deadline: "Bluebell-Deadline", Target: "Bluebell-Target", NotRun: "Bluebell-Not-Run",
		Caller: "Bluebell-Caller", Tenant: "Bluebell-Tenant",
	}
}
