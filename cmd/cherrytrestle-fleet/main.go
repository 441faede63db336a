// Command cherrytrestle-fleet is the relay as a member of its fleet, or with a backlog on disk. cherrytrestle starts it in its
// own place when its settings ask for one of these, so that the relay alone does not carry what only they need.
package main

import (
	"onyxroad.dev/onyxroad/internal/backlog"
	"onyxroad.dev/onyxroad/internal/backlog/owed"
	"onyxroad.dev/onyxroad/internal/duty/figures"
	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/program"
	"onyxroad.dev/onyxroad/internal/relay"
)

func main() {
	program.Main(program.Parts{
		Join: gossip.Join,
		Duties: func(c program.DutyConfig) relay.Duties {
			return figures.New(figures.Config{Stewards: c.Stewards, Lease: c.Lease, MayHold: c.Figures, Name: c.Name, Admin: c.Admin, Log: c.Log})
		},
		Backlog: func(c program.BacklogConfig) relay.Backlog {
			o := backlog.Options{Dir: c.Dir, Limit: int64(c.DiskMB * 1e6), Power: c.Power, Name: c.Name, FS: c.FS, Log: c.Log}
			return relay.Backlog{Window: c.Window, Share: c.Share, Open: func() (owed.Store, owed.Found, error) {
				s, found, err := backlog.Open(o)
				if err != nil {
					return nil, found, err // no store that is nil
				}
				return s, found, nil
			}}
		},
	})
}
