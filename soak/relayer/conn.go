package relayer

import (
	"net"
	"sync/atomic"
)

// relayedConn is a relayed TCP connection.
type relayedConn struct {
	link             Link         // from the client to the process behind the relay
	client, server   *net.TCPConn // to the client and to the process behind the relay
	silent           atomic.Bool  // data is discarded in both directions
	closedDirections atomic.Int32 // directions whose sender has closed since the connection became silent
}

// connects reports whether the connection was opened by client to the process server; empty names match any process.
func (c *relayedConn) connects(client, server string) bool {
	return (client == "" || c.link.From == client) && (server == "" || c.link.To == server)
}

// reset resets both sides of the connection.
func (c *relayedConn) reset() {
	abort(c.client)
	abort(c.server)
}

// abort closes a connection with a TCP reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}
