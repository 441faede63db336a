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

// Listen listens at a port of every loopback address: the connection's local address tells by which of them a peer came,
// so that one listener serves a party that each peer knows by an address of its own. Others may listen at single addresses
// of the port beside it, and go first there; see Hole.
func Listen(port int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return sharePortOnLoopback(c) }}
	l, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, fmt.Errorf("network: %w", err)
	}
	return l, nil
}

// sharePortOnLoopback has a socket share its port, and take what comes over the loopback interface alone.
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

// Blackhole is an address at which connections neither come up nor are refused, as at a machine that is cut off: a listener
// whose queue is full, so that the kernel drops what else asks to connect.
type Blackhole struct{ fds []int }

// NewBlackhole makes the address ip:port a hole, also where Listen serves the port.
func NewBlackhole(ip net.IP, port int) (*Blackhole, error) {
	h := &Blackhole{}
	if err := h.open(ip, port); err != nil {
		h.Close()
		return nil, fmt.Errorf("network: hole at %v:%d: %w", ip, port, err)
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
	// The one connection that a queue of none takes.
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

// Close ends the hole.
func (h *Blackhole) Close() {
	for _, fd := range h.fds {
		unix.Close(fd)
	}
	h.fds = nil
}

// Reset closes a connection so that its peer sees it reset.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.SetDeadline(time.Unix(1, 0))
	c.Close()
}
