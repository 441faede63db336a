// Package fleetslope has the slopes of all that makes relays a fleet: members, stewards with those that hold duties, and the
// way of a change of configuration to a relay. The members and the holders are hollow: their own code, many to a process, without
// the relay around them.
package fleetslope

import "onyxroad.dev/onyxroad/internal/testbed/scale"

// Slopes are this package's slopes.
func Slopes() []scale.Slope {
	return []scale.Slope{memberRest(), memberJoin(), memberLossOne(), memberLossSixth(), memberCut(), memberView(),
		stewardHolders(), stewardDuties(), configListSlope()}
}
