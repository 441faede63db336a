package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// flowIdleTimeout is how long a flow is kept after the peer's last datagram, so that answers can be routed back.
const flowIdleTimeout = 30 * time.Second

// Forwarder forwards UDP or TCP between processes that cannot wait on a Path themselves: peers connect to its address
// instead of the target's, and the traffic of each peer takes the path that PathFor returns.
type Forwarder struct {
	Target string
	// PathFor returns the path of a peer by its address; nil rejects the peer.
	PathFor func(from netip.AddrPort) *Path

	cancel context.CancelFunc
	closer io.Closer
	addr   net.Addr
	wg     sync.WaitGroup

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is the UDP traffic between one peer and the target.
type flow struct {
	conn     *net.UDPConn // to the target
	path     *Path
	lastUsed time.Time
}

// ForwardTCP listens at addr and forwards TCP connections until Close.
func (f *Forwarder) ForwardTCP(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("network: forward: %w", err)
	}
	ctx := f.start(l, l.Addr())
	f.wg.Go(func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(time.Millisecond) // out of file descriptors, for example
				continue
			}
			f.wg.Go(func() { f.forwardConn(ctx, c) })
		}
	})
	return nil
}

func (f *Forwarder) start(c io.Closer, addr net.Addr) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.closer, f.addr = cancel, c, addr
	return ctx
}

// Addr returns the address at which the forwarder listens.
func (f *Forwarder) Addr() string { return f.addr.String() }

// Close stops the forwarder and closes all connections and flows.
func (f *Forwarder) Close() {
	f.cancel()
	f.closer.Close()
	f.mu.Lock()
	for _, x := range f.flows {
		x.conn.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// forwardConn forwards one TCP connection.
func (f *Forwarder) forwardConn(ctx context.Context, near net.Conn) {
	defer near.Close()
	path := f.PathFor(near.RemoteAddr().(*net.TCPAddr).AddrPort())
	if path == nil || path.Resets(Outbound) {
		Reset(near)
		return
	}
	if path.AwaitArrival(ctx, Outbound) != nil {
		return
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp4", f.Target)
	if err != nil {
		Reset(near)
		return
	}
	defer far.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { near.Close(); far.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { defer cancel(); copyDelayed(ctx, far, near, path, Outbound) })
	wg.Go(func() { defer cancel(); copyDelayed(ctx, near, far, path, Inbound) })
	wg.Wait()
}

// copyDelayed copies one direction of a connection. It delays each chunk as the path says and keeps their order.
func copyDelayed(ctx context.Context, to io.Writer, from io.Reader, path *Path, d Direction) {
	type chunk struct {
		data []byte
		at   time.Time
	}
	chunks := make(chan chunk, 256)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{buf[:n], time.Now()}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range chunks {
		// The time that a chunk waited behind an earlier one counts towards its delay.
		c := path.Conditions(d)
		if Sleep(ctx, c.Delay-time.Since(p.at)) != nil || path.awaitCutEnd(ctx, d) != nil {
			return
		}
		if _, err := to.Write(p.data); err != nil {
			return
		}
	}
}

// ForwardUDP listens at addr and forwards datagrams until Close. The target sees a separate address of the forwarder for
// each peer.
func (f *Forwarder) ForwardUDP(addr string) error {
	a, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return fmt.Errorf("network: forward: %w", err)
	}
	target, err := net.ResolveUDPAddr("udp4", f.Target)
	if err != nil {
		return fmt.Errorf("network: forward: %w", err)
	}
	near, err := net.ListenUDP("udp4", a)
	if err != nil {
		return fmt.Errorf("network: forward: %w", err)
	}
	f.flows = map[netip.AddrPort]*flow{}
	ctx := f.start(near, near.LocalAddr())
	f.wg.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, from, err := near.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if x := f.flowFor(ctx, near, from, target); x != nil {
				forwardDatagram(ctx, x.path, Outbound, buf[:n], func(b []byte) { x.conn.Write(b) })
			}
		}
	})
	return nil
}

// flowFor returns the flow of a peer and creates it if needed; nil if the peer is rejected.
func (f *Forwarder) flowFor(ctx context.Context, near *net.UDPConn, from netip.AddrPort, target *net.UDPAddr) *flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.flows[from]
	if x != nil {
		x.lastUsed = time.Now()
		return x
	}
	for a, old := range f.flows {
		if time.Since(old.lastUsed) > flowIdleTimeout {
			old.conn.Close()
			delete(f.flows, a)
		}
	}
	path := f.PathFor(from)
	if path == nil || ctx.Err() != nil {
		return nil
	}
	c, err := net.DialUDP("udp4", nil, target)
	if err != nil {
		return nil
	}
	x = &flow{conn: c, path: path, lastUsed: time.Now()}
	f.flows[from] = x
	f.wg.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil { // other errors mean that the target is not listening at present
				forwardDatagram(ctx, path, Inbound, buf[:n], func(b []byte) { near.WriteToUDPAddrPort(b, from) })
			}
		}
	})
	return x
}

// forwardDatagram writes the copies of a datagram that arrive, each after its delay.
func forwardDatagram(ctx context.Context, path *Path, d Direction, data []byte, write func([]byte)) {
	for _, wait := range path.drawDatagram(d) {
		b := append([]byte(nil), data...)
		if wait <= 0 {
			write(b)
			continue
		}
		time.AfterFunc(wait, func() {
			if ctx.Err() == nil {
				write(b)
			}
		})
	}
}
