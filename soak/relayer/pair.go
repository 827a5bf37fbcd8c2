package relayer

import (
	"net"
	"sync/atomic"
)

// pair is one relayed connection.
type pair struct {
	link      Link
	near, far *net.TCPConn
	silent    atomic.Bool
	ends      atomic.Int32 // directions of a silent pair whose sender has closed
}

func (p *pair) joins(from, to string) bool {
	return (from == "" || p.link.From == from) && (to == "" || p.link.To == to)
}

func (p *pair) reset() {
	abort(p.near)
	abort(p.far)
}

// abort closes a connection with a reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}
