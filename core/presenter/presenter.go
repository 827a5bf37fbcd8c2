// Package presenter defines the JSON types of the operators' API.
package presenter

import "time"

// Error codes of a Problem.
const (
	CodeConflict    = "conflict"    // the version of the batch is not the base version of the change
	CodeInvalid     = "invalid"     // the request failed validation
	CodeMissing     = "missing"     // the batch does not exist
	CodeUnavailable = "unavailable" // the request was not accepted; it has no effect
	CodeUnknown     = "unknown"     // the change may or may not have been accepted; retry it with the same id
)

// Problem is the body of an error response.
type Problem struct {
	Error   string `json:"error"`
	Code    string `json:"code"`
	Version uint64 `json:"version,omitempty"`
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Version uint64 `json:"version"`
}

// Batch is a group of services and routes under one support contract.
type Batch struct {
	Name     string    `json:"name"`
	Version  uint64    `json:"version"`
	Until    time.Time `json:"until"`
	Lapsed   bool      `json:"lapsed"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes,omitempty"`
	Bounds   *Bounds   `json:"bounds,omitempty"`
	// Revision is the operator's own version number, or 0. A batch with a revision must be changed through the API that set it.
	Revision uint64   `json:"revision,omitempty"`
	Tenants  []Tenant `json:"tenants,omitempty"`
	// Auth is true if calls on routes that are not public need a key.
	Auth bool `json:"auth,omitempty"`
}

// Tenant is a tenant of a batch. Keys are never shown.
type Tenant struct {
	Name  string  `json:"name"`
	Keys  int     `json:"keys"` // number of keys
	Rank  *int    `json:"rank,omitempty"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Route is a route of a batch.
type Route struct {
	Name     string         `json:"name"`
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Parts    map[string]int `json:"parts"` // weights by service
	Repeat   bool           `json:"repeat"`
	Timeout  string         `json:"timeout"`
	Target   string         `json:"target"`
	Rank     int            `json:"rank"`
	Attempts int            `json:"attempts"`
	Public   bool           `json:"public,omitempty"`
}

// Bounds holds the limits on requests from callers of the routes of a batch.
type Bounds struct {
	Header int    `json:"header"` // bytes
	Body   int    `json:"body"`   // bytes
	Wait   string `json:"wait"`   // maximum time to receive a header
	Idle   string `json:"idle"`   // maximum idle time of a connection
}

// Service is a service of a batch.
type Service struct {
	Name  string   `json:"name"`
	Needs []string `json:"needs"`
	Class string   `json:"class"`
	Once  bool     `json:"once"`
	Limit string   `json:"limit"`
	Conns int      `json:"conns,omitempty"`
}

// Status is the state of one controller.
type Status struct {
	Name    string   `json:"name"`
	Role    string   `json:"role"`
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Version uint64   `json:"version"`
	Fresh   bool     `json:"fresh"`
	Nodes   []Node   `json:"nodes,omitempty"`
	Daemons []Daemon `json:"daemons,omitempty"`
}

// Node is one controller in the membership of the replicated log.
type Node struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Voter bool   `json:"voter"`
}

// Daemon is a daemon that is connected to a controller.
type Daemon struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Batch  string `json:"batch"`
	Held   uint64 `json:"held"` // version of the batch in effect on the daemon
}
