package network

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

func TestAwaitArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPath(Conditions{Delay: 50 * time.Millisecond}, 1)
		began := time.Now()
		if err := p.AwaitArrival(t.Context(), Outbound); err != nil || time.Since(began) != 50*time.Millisecond {
			t.Errorf("arrived after %v, %v", time.Since(began), err)
		}
		// A cut of one direction stalls that one and not the other.
		p.Update(Outbound, func(c *Conditions) { c.Cut = true })
		time.AfterFunc(3*time.Second, func() { p.Update(Outbound, func(c *Conditions) { c.Cut = false }) })
		began = time.Now()
		if p.AwaitArrival(t.Context(), Inbound); time.Since(began) != 50*time.Millisecond {
			t.Errorf("inbound: arrived after %v", time.Since(began))
		}
		if p.AwaitArrival(t.Context(), Outbound); time.Since(began) != 3*time.Second {
			t.Errorf("outbound: arrived after %v", time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p.Update(Outbound, func(c *Conditions) { c.Cut = true })
		if err := p.AwaitArrival(ctx, Outbound); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("cut that does not end: %v", err)
		}
	})
}

func TestDatagrams(t *testing.T) {
	p := NewPath(Conditions{Loss: 0.3, Duplicate: 0.1}, 2)
	lost, duplicated := 0, 0
	for range 10000 {
		switch len(p.drawDatagram(Outbound)) {
		case 0:
			lost++
		case 2:
			duplicated++
		}
	}
	if lost < 2850 || lost > 3150 || duplicated < 600 || duplicated > 800 {
		t.Errorf("%d lost, %d duplicated of 10000", lost, duplicated)
	}
}

// TestBlackhole connects to an address of a port that Listen serves, while the address is a black hole and afterwards.
func TestBlackhole(t *testing.T) {
	l, err := Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	port := l.Addr().(*net.TCPAddr).Port
	dial := func(last byte) error {
		c, err := net.DialTimeout("tcp4", (&net.TCPAddr{IP: net.IPv4(127, 9, 9, last), Port: port}).String(), 300*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return err
	}
	h, err := NewBlackhole(net.IPv4(127, 9, 9, 1), port)
	if err != nil {
		t.Fatal(err)
	}
	// Either of the dial's two timers may expire first, the context's or the socket's; their errors differ.
	if err, ok := errors.AsType[net.Error](dial(1)); !ok || !err.Timeout() {
		t.Errorf("black hole: %v", err)
	}
	if err := dial(2); err != nil {
		t.Errorf("another address than the black hole: %v", err)
	}
	h.Close()
	if err := dial(1); err != nil {
		t.Errorf("closed black hole: %v", err)
	}
}

func TestForwardTCP(t *testing.T) {
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		c, err := target.Accept()
		if err != nil {
			return
		}
		io.Copy(c, c)
		c.Close()
	}()
	path := NewPath(Conditions{}, 3)
	f := &Forwarder{Target: target.Addr().String(), PathFor: func(netip.AddrPort) *Path { return path }}
	if err := f.ForwardTCP("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c, err := net.Dial("tcp4", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("hello"))
	got := make([]byte, 5)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "hello" {
		t.Errorf("%q, %v", got, err)
	}
	// Only the inbound direction is cut: the data reaches the target, and the answer arrives when the cut ends.
	path.Update(Inbound, func(c *Conditions) { c.Cut = true })
	c.Write([]byte("again"))
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read during the cut: %v", err)
	}
	c.SetReadDeadline(time.Time{})
	path.Update(Inbound, func(c *Conditions) { c.Cut = false })
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "again" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestForwardUDP(t *testing.T) {
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := target.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			target.WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	path := NewPath(Conditions{Duplicate: 1}, 4)
	f := &Forwarder{Target: target.LocalAddr().String(), PathFor: func(netip.AddrPort) *Path { return path }}
	if err := f.ForwardUDP("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c, err := net.Dial("udp4", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("x"))
	buf := make([]byte, 10)
	for i := range 4 { // two copies in each direction
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := c.Read(buf); err != nil || string(buf[:n]) != "x" {
			t.Fatalf("copy %d: %q, %v", i, buf[:n], err)
		}
	}
}
