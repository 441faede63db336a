// Package sockets opens the relay's sockets. It stands between the relay and package net for the sake of tests and of the
// testbed's builds, which have calls of the system fail there; otherwise it adds nothing.
package sockets

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Call is a call of the system that may be made to fail.
type Call string

// The calls.
const (
	Socket  Call = "socket"
	Accept  Call = "accept"
	Connect Call = "connect"
	Read    Call = "recv"
	Write   Call = "send"
	Listen  Call = "listen"
)

// Faults tells how calls fail.
type Faults interface {
	// Fail is asked before each call; 0 lets it be made.
	Fail(Call) syscall.Errno
	// MaxBytes is how many of n bytes a read or a write moves at once.
	MaxBytes(n int) int
}

// faults is nil where none are to be had.
var faults atomic.Pointer[Faults]

// SetFaults has calls fail until restore is called. It is for tests and for the testbed's builds alone.
func SetFaults(f Faults) (restore func()) {
	before := faults.Swap(&f)
	return func() { faults.Store(before) }
}

// injectedError is the error of a call, as package net tells it; nil lets it be made.
func injectedError(call Call, op string) error {
	f := faults.Load()
	if f == nil {
		return nil
	}
	if errno := (*f).Fail(call); errno != 0 {
		return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(string(call), errno)}
	}
	return nil
}

// ListenTCP listens on an address.
func ListenTCP(addr string) (*net.TCPListener, error) {
	for _, call := range []Call{Socket, Listen} {
		if err := injectedError(call, "listen"); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenUnix listens at a path, which stays when the listener is closed.
func ListenUnix(path string) (*net.UnixListener, error) {
	if err := injectedError(Listen, "listen"); err != nil {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err == nil {
		l.SetUnlinkOnClose(false)
	}
	return l, err
}

// DialUnix connects to a listener at a path.
func DialUnix(path string) (*net.UnixConn, error) {
	if err := injectedError(Connect, "dial"); err != nil {
		return nil, err
	}
	return net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
}

// AcceptFrom accepts a listener's next connection.
func AcceptFrom(l net.Listener) (net.Conn, error) {
	// The system looks for room for a connection before it looks for one: where that fails, all stay in the queue.
	if err := injectedError(Accept, "accept"); err != nil {
		return nil, err
	}
	c, err := l.Accept()
	if err != nil {
		return nil, err
	}
	return withFaults(c), nil
}

// Dialer connects to endpoints and to discovery.
type Dialer struct{ net.Dialer }

// NewDialer returns a dialer without keep-alive probes. timeout 0: as long as the context lets it.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{KeepAlive: -1, Timeout: timeout}}
}

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	for _, call := range []Call{Socket, Connect} {
		if err := injectedError(call, "dial"); err != nil {
			return nil, err
		}
	}
	c, err := d.Dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return withFaults(c), nil
}

// withFaults has a connection's reads and writes fail; the connection itself where no faults are to be had.
func withFaults(c net.Conn) net.Conn {
	f := faults.Load()
	if f == nil {
		return c
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &faultyConn{TCPConn: tcp, faults: *f}
	}
	return c
}

// faultyConn is a connection whose reads and writes may fail, and may be short. One that has failed is broken.
type faultyConn struct {
	*net.TCPConn
	faults Faults
	broken atomic.Pointer[net.OpError]
}

// injectFault is asked before each read and write.
func (c *faultyConn) injectFault(call Call) error {
	if err := c.broken.Load(); err != nil {
		return err
	}
	errno := c.faults.Fail(call)
	if errno == 0 {
		return nil
	}
	err := &net.OpError{Op: string(call), Net: "tcp", Err: os.NewSyscallError(string(call), errno)}
	c.broken.Store(err)
	c.SetLinger(0) // the peer sees a reset
	c.CloseRead()
	return err
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if err := c.injectFault(Read); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(b[:c.faults.MaxBytes(len(b))])
}

// Write writes all of b, as package net does where the system's writes are short.
func (c *faultyConn) Write(b []byte) (written int, err error) {
	for len(b) > 0 {
		if err := c.injectFault(Write); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(b[:c.faults.MaxBytes(len(b))])
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}
