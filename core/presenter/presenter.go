// Package presenter holds the JSON forms of the operators' API.
package presenter

import "time"

// Codes of a Problem.
const (
	CodeConflict    = "conflict"    // the batch is at another version than the change's base
	CodeInvalid     = "invalid"     // the request fails a check
	CodeMissing     = "missing"     // the batch does not exist
	CodeUnavailable = "unavailable" // nothing was accepted
	CodeUnknown     = "unknown"     // the change may or may not be accepted; send it again with the same id
)

// Problem is the body of an error answer.
type Problem struct {
	Error   string `json:"error"`
	Code    string `json:"code"`
	Version uint64 `json:"version,omitempty"`
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Version uint64 `json:"version"`
}

// Batch is a batch.
type Batch struct {
	Name     string    `json:"name"`
	Version  uint64    `json:"version"`
	Until    time.Time `json:"until"`
	Lapsed   bool      `json:"lapsed"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes,omitempty"`
	Bounds   *Bounds   `json:"bounds,omitempty"`
	// Revision is the operator's own version number; a batch that has one is changed through the interface that set it.
	Revision uint64 `json:"revision,omitempty"`
}

// Route is a route of a batch.
type Route struct {
	Name     string         `json:"name"`
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Parts    map[string]int `json:"parts"`
	Repeat   bool           `json:"repeat"`
	Timeout  string         `json:"timeout"`
	Target   string         `json:"target"`
	Rank     int            `json:"rank"`
	Attempts int            `json:"attempts"`
}

// Bounds limits what callers on the routes of a batch may send.
type Bounds struct {
	Header int    `json:"header"` // bytes
	Body   int    `json:"body"`   // bytes
	Wait   string `json:"wait"`
	Idle   string `json:"idle"`
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

// Node is one controller of the membership.
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
	Held   uint64 `json:"held"`
}
