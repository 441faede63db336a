package fleetslope

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"onyxroad.dev/onyxroad/internal/membership"
	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

const (
	cutParts = 3
	cutFor   = 12 * time.Second // three times what the end of a member takes to be seen
	dialLook = 200 * time.Millisecond
)

// cut is a network between members that can be parted: silently, so that datagrams are lost, and connections come up once it is over.
type cut struct {
	parts atomic.Int64 // 0: one
	lost  atomic.Int64 // bytes that were sent and did not arrive
}

// between tells whether two members are parted: neighbours by address are, and every third is together.
func (c *cut) between(from, to string) bool {
	n := c.parts.Load()
	return n > 0 && memberPlace(from)%n != memberPlace(to)%n
}

// memberPlace is the place of the member at an address.
func memberPlace(addr string) int64 {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host).To4(); err == nil && ip != nil {
		return int64(ip[2]-1)*250 + int64(ip[3]-1)
	}
	return 0
}

// join is gossip.Join over this network.
func (c *cut) join() membership.Join {
	return gossip.JoinWith(func(cfg membership.Config, t memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
		return &parted{t, cfg.Bind, c}
	})
}

// parted is a member's side of a network that can be cut.
type parted struct {
	memberlist.NodeAwareTransport
	addr string
	cut  *cut
}

func (p *parted) WriteTo(b []byte, addr string) (time.Time, error) {
	return p.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (p *parted) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if p.cut.between(p.addr, a.Addr) {
		p.cut.lost.Add(int64(len(b)))
		return time.Now(), nil
	}
	return p.NodeAwareTransport.WriteToAddress(b, a)
}

func (p *parted) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: addr}, d)
}

func (p *parted) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	end := time.Now().Add(d)
	for p.cut.between(p.addr, a.Addr) {
		if time.Now().After(end) {
			return nil, os.ErrDeadlineExceeded
		}
		time.Sleep(dialLook) // as TCP asks again
	}
	return p.NodeAwareTransport.DialAddressTimeout(a, time.Until(end))
}

// memberCut measures a cut in three, and its heal.
func memberCut() scale.Slope {
	s := memberSlope("member-cut", "a fleet that is cut in three for 12 s, silently; it settles from the heal on", settleFigures)
	s.Measure = func(ctx context.Context, size int, _ uint64, env scale.Env) (got map[string]float64, err error) {
		c := &cut{}
		err = withMembers(ctx, size, c.join(), env, func(f *members) error {
			f.lost = &c.lost
			var settled time.Duration
			l, err := f.during(size, func() error {
				c.parts.Store(cutParts)
				err := network.Sleep(ctx, cutFor)
				c.parts.Store(0)
				if err == nil {
					settled, err = f.settle(ctx, time.Now())
				}
				return err
			})
			got = l.figures(settled)
			return err
		})
		return got, err
	}
	return s
}
