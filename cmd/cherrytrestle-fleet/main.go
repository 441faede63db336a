// Command cherrytrestle-fleet is the relay with support for fleet membership and a backlog on disk. cherrytrestle executes it
// when its settings enable one of these, so that a plain relay does not include their code.
package main

import (
	"onyxroad.dev/onyxroad/internal/backlog"
	"onyxroad.dev/onyxroad/internal/backlog/storage"
	"onyxroad.dev/onyxroad/internal/duty/figures"
	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/program"
	"onyxroad.dev/onyxroad/internal/relay"
)

func main() {
	program.Main(program.Components{
		Join: gossip.Join,
		Duties: func(c program.DutyConfig) relay.Duties {
			return figures.New(figures.Config{Stewards: c.Stewards, Lease: c.Lease, MayHold: c.Figures, Name: c.Name, Admin: c.Admin, Log: c.Log})
		},
		Backlog: func(c program.BacklogConfig) relay.Backlog {
			o := backlog.Options{Dir: c.Dir, Limit: int64(c.DiskMB * 1e6), Fsync: c.Fsync, Name: c.Name, FS: c.FS, Log: c.Log}
			return relay.Backlog{Window: c.Window, Share: c.Share, Open: func() (storage.Store, storage.OpenReport, error) {
				s, found, err := backlog.Open(o)
				if err != nil {
					return nil, found, err // not a non-nil interface with a nil *backlog.Store
				}
				return s, found, nil
			}}
		},
	})
}
