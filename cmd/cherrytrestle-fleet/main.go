// Command cherrytrestle-fleet is the relay as a member of its fleet. cherrytrestle starts it in its own place when its settings
// ask for membership, so that the relay alone does not carry what only members need.
package main

import (
	"onyxroad.dev/onyxroad/internal/duty/figures"
	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/program"
	"onyxroad.dev/onyxroad/internal/relay"
)

func main() {
	program.Main(gossip.Join, func(c program.DutyConfig) relay.Duties {
		return figures.New(figures.Config{Stewards: c.Stewards, Lease: c.Lease, Sum: c.Figures, Name: c.Name, Admin: c.Admin, Log: c.Log})
	})
}
