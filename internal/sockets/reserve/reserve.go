// Package reserve reserves loopback TCP addresses for processes that are started later and that may restart. It is for
// tests and the testbed.
package reserve

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Address is a reserved loopback TCP address.
type Address struct {
	fd   int
	addr netip.AddrPort
}

// NewAddress reserves a free port of 127.0.0.1 until Close. A server that binds the address explicitly with SO_REUSEADDR, as
// package net does, can listen on it any number of times. The kernel gives the port to no other socket that lets it choose,
// and refuses connections to it while nobody listens. The error is the failed system call's.
func NewAddress() (*Address, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve an address: socket: %w", err)
	}
	addr, err := bindLoopback(fd)
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	return &Address{fd: fd, addr: addr}, nil
}

// bindLoopback binds a socket to a free port of 127.0.0.1 and never lets it listen.
func bindLoopback(fd int) (addr netip.AddrPort, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return addr, fmt.Errorf("setsockopt: %w", err)
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return addr, fmt.Errorf("bind: %w", err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return addr, fmt.Errorf("getsockname: %w", err)
	}
	return netip.AddrPortFrom(loopback, uint16(name.(*unix.SockaddrInet4).Port)), nil
}

// String returns the address as host and port.
func (a *Address) String() string { return a.addr.String() }

// Close gives the address back.
func (a *Address) Close() error { return unix.Close(a.fd) }
