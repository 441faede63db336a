package network

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listen listens at a port of every loopback address. The local address of a connection tells which of them the peer used,
// so one listener can serve a party that has a different address for each peer. A listener at a single address of the port
// may coexist with it and takes precedence there; see Blackhole.
func Listen(port int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return sharePortOnLoopback(c) }}
	l, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("network: %w", err)
	}
	return l, nil
}

// sharePortOnLoopback lets a socket share its port and restricts it to the loopback interface.
func sharePortOnLoopback(c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = setSharedLoopback(int(fd)) }); e != nil {
		return e
	}
	return err
}

func setSharedLoopback(fd int) error {
	for _, opt := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, opt, 1); err != nil {
			return os.NewSyscallError("setsockopt", err)
		}
	}
	return os.NewSyscallError("bind to lo", unix.BindToDevice(fd, "lo"))
}

// Blackhole is an address at which connections are neither established nor refused, as at a machine that is cut off. It is
// a listener with a full accept queue, for which the kernel drops further connection requests.
type Blackhole struct{ fds []int }

// NewBlackhole makes the address ip:port a black hole, even if Listen serves the port.
func NewBlackhole(ip net.IP, port int) (*Blackhole, error) {
	h := &Blackhole{}
	if err := h.open(ip, port); err != nil {
		h.Close()
		return nil, fmt.Errorf("network: black hole at %v:%d: %w", ip, port, err)
	}
	return h, nil
}

func (h *Blackhole) open(ip net.IP, port int) error {
	addr := &unix.SockaddrInet4{Port: port, Addr: [4]byte(ip.To4())}
	fd, err := h.newSocket(0)
	if err != nil {
		return err
	}
	if err := setSharedLoopback(fd); err != nil {
		return err
	}
	if err := unix.Bind(fd, addr); err != nil {
		return os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		return os.NewSyscallError("listen", err)
	}
	// A backlog of 0 still queues one connection; this one fills it.
	if fd, err = h.newSocket(unix.SOCK_NONBLOCK); err != nil {
		return err
	}
	if err := unix.Connect(fd, addr); err != nil && err != unix.EINPROGRESS {
		return os.NewSyscallError("connect", err)
	}
	return nil
}

func (h *Blackhole) newSocket(flags int) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|flags, 0)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	h.fds = append(h.fds, fd)
	return fd, nil
}

// Close closes the sockets, so that the address works as before.
func (h *Blackhole) Close() {
	for _, fd := range h.fds {
		unix.Close(fd)
	}
	h.fds = nil
}

// Reset closes a connection with a TCP reset.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.SetDeadline(time.Unix(1, 0))
	c.Close()
}
