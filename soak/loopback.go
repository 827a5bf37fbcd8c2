package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	// lockPort is bound at the first address of a loopback network while a soak uses it.
	lockPort = 7399
	lastNet  = 254
)

// errNoFreeNet reports that all loopback networks are in use.
var errNoFreeNet = errors.New("no free loopback network")

// reserveLoopbackNet returns the second byte of a loopback network that no other soak on the machine uses, and a function
// that releases it. Two soaks with the same addresses would disturb each other's processes.
func reserveLoopbackNet(first int) (byte, func(), error) {
	for n := first; n <= lastNet; n++ {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(n), 0, 1}), lockPort)
		lock, err := net.Listen("tcp", addr.String())
		if err == nil {
			return byte(n), func() { _ = lock.Close() }, nil
		}
	}
	return 0, nil, fmt.Errorf("%w from 127.%d on", errNoFreeNet, first)
}
