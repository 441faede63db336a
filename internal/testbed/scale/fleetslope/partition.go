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
	partitionGroups   = 3
	partitionDuration = 12 * time.Second // three times as long as it takes to detect the loss of a member
	dialPollInterval  = 200 * time.Millisecond
)

// partition is a network between members that can be partitioned. Datagrams between groups are then dropped silently, and dials
// wait until the partition heals.
type partition struct {
	groups    atomic.Int64 // number of groups; 0 without a partition
	lostBytes atomic.Int64 // bytes sent and dropped
}

// separates reports whether two members are in different groups. A member's group is its index modulo the number of groups.
func (c *partition) separates(from, to string) bool {
	n := c.groups.Load()
	return n > 0 && memberIndex(from)%n != memberIndex(to)%n
}

// memberIndex returns the index of the member at an address.
func memberIndex(addr string) int64 {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host).To4(); err == nil && ip != nil {
		return int64(ip[2]-1)*250 + int64(ip[3]-1)
	}
	return 0
}

// join returns gossip.Join over this network.
func (c *partition) join() membership.Join {
	return gossip.JoinWith(func(cfg membership.Config, t memberlist.NodeAwareTransport) memberlist.NodeAwareTransport {
		return &partitionedTransport{t, cfg.Bind, c}
	})
}

// partitionedTransport is a member's transport over a network that can be partitioned.
type partitionedTransport struct {
	memberlist.NodeAwareTransport
	addr      string
	partition *partition
}

func (p *partitionedTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return p.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (p *partitionedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if p.partition.separates(p.addr, a.Addr) {
		p.partition.lostBytes.Add(int64(len(b)))
		return time.Now(), nil
	}
	return p.NodeAwareTransport.WriteToAddress(b, a)
}

func (p *partitionedTransport) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: addr}, d)
}

func (p *partitionedTransport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	end := time.Now().Add(d)
	for p.partition.separates(p.addr, a.Addr) {
		if time.Now().After(end) {
			return nil, os.ErrDeadlineExceeded
		}
		time.Sleep(dialPollInterval) // like TCP's retransmission of SYN
	}
	return p.NodeAwareTransport.DialAddressTimeout(a, time.Until(end))
}

// memberCut measures a partition into three groups and its healing.
func memberCut() scale.Slope {
	s := memberSlope("member-cut", "a fleet that is cut in three for 12 s, silently; it settles from the heal on", settleFigures)
	s.Measure = func(ctx context.Context, size int, _ uint64, env scale.Env) (got map[string]float64, err error) {
		c := &partition{}
		err = withQuietFleet(ctx, size, c.join(), env, func(f *memberFleet) error {
			f.lostBytes = &c.lostBytes
			var settled time.Duration
			l, err := f.measureUsage(size, func() error {
				c.groups.Store(partitionGroups)
				err := network.Sleep(ctx, partitionDuration)
				c.groups.Store(0)
				if err == nil {
					settled, err = f.awaitAgreement(ctx, time.Now())
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
