// Package sockets opens the relay's sockets. It is a thin layer on package net that lets tests and testbed builds make system
// calls fail; without such faults it adds nothing.
package sockets

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Call names a system call that can be made to fail.
type Call string

// The system calls that can be made to fail.
const (
	Socket  Call = "socket"
	Accept  Call = "accept"
	Connect Call = "connect"
	Read    Call = "recv"
	Write   Call = "send"
	Listen  Call = "listen"
)

// Faults decides which calls fail.
type Faults interface {
	// Fail is called before each call and returns its error; 0 means that the call is made.
	Fail(Call) syscall.Errno
	// MaxBytes returns how many of n bytes a single read or write transfers at most.
	MaxBytes(n int) int
}

// faults is nil if no faults are injected.
var faults atomic.Pointer[Faults]

// SetFaults injects faults until restore is called. It is only for tests and testbed builds.
func SetFaults(f Faults) (restore func()) {
	before := faults.Swap(&f)
	return func() { faults.Store(before) }
}

// injectedError returns the error of a call in the form that package net uses; nil means that the call is made.
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

// ListenTCP listens on a TCP address.
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

// ListenUnix listens on a Unix socket. The socket file is not removed when the listener is closed.
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

// DialUnix connects to a Unix socket.
func DialUnix(path string) (*net.UnixConn, error) {
	if err := injectedError(Connect, "dial"); err != nil {
		return nil, err
	}
	return net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
}

// AcceptFrom accepts the next connection of a listener.
func AcceptFrom(l net.Listener) (net.Conn, error) {
	// The kernel allocates resources for a connection before it takes one off the queue. If that fails, all connections stay
	// queued, so the fault must come before the accept.
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

// NewDialer returns a dialer without keep-alive probes. With a timeout of 0 only the context limits connecting.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{KeepAlive: -1, Timeout: timeout}}
}

// DialContext connects to a network address.
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

// withFaults returns a connection with faults injected into its reads and writes, or c itself if no faults are injected.
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

// faultyConn is a connection whose reads and writes may fail or be short. After a failure all further ones fail.
type faultyConn struct {
	*net.TCPConn
	faults Faults
	broken atomic.Pointer[net.OpError]
}

// injectFault is called before each read and write, and returns the error that it is to fail with.
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
	c.SetLinger(0) // closing sends a reset to the peer
	c.CloseRead()
	return err
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if err := c.injectFault(Read); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(b[:c.faults.MaxBytes(len(b))])
}

// Write writes all of b, as package net does when a system call writes only a part.
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

// Ahead is what a read of a connection would find at once.
type Ahead int

// What may be ahead.
const (
	Nothing Ahead = iota
	Bytes
	End // the peer has disconnected, or the connection has failed
)

// Readable reports whether a read of a connection would return at once. It consumes what it finds.
func Readable(c net.Conn) bool { return ReadAhead(c) != Nothing }

// ReadAhead reports what a read of a connection would find at once, and consumes it. Nothing is ahead on a connection that is
// no socket of the system.
func ReadAhead(c net.Conn) Ahead {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Nothing
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return End
	}
	n := 0
	readErr := error(syscall.EINTR)
	err = raw.Read(func(fd uintptr) bool {
		for readErr == syscall.EINTR {
			n, readErr = syscall.Read(int(fd), make([]byte, 1)) // does not block: package net's sockets are non-blocking
		}
		return true
	})
	switch {
	case err == nil && readErr == syscall.EAGAIN:
		return Nothing
	case err == nil && readErr == nil && n > 0:
		return Bytes
	}
	return End
}

const maxDrainReads = 16 // of one call, because a peer may send faster than they take

// Drain drops what has arrived on a connection, or a part of it, and returns how many bytes that were. It does not wait.
func Drain(c net.Conn, buffer []byte) (dropped int) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Read(func(fd uintptr) bool {
		for range maxDrainReads {
			n, err := syscall.Read(int(fd), buffer)
			if err == syscall.EINTR {
				continue
			}
			dropped += max(0, n)
			if n < len(buffer) {
				break
			}
		}
		return true
	})
	return dropped
}

// States of a TCP connection whose peer will send nothing more, as Linux numbers them.
const (
	tcpClosed    = 7
	tcpCloseWait = 8
	tcpStateMask = 0xff // the state is the first byte of the system's struct tcp_info
)

// PeerClosed reports whether the peer of a connection has closed or reset it, however many of its bytes are still unread.
// It is false if the system does not tell.
func PeerClosed(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	state := 0
	raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err == nil {
			state = info & tcpStateMask
		}
	})
	return state == tcpClosed || state == tcpCloseWait
}
