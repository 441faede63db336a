// Package fleetslope measures how the components that turn relays into a fleet scale: membership, stewards with the holders of
// duties, and the distribution of configuration changes to a relay. Members and holders run their production code, many in one
// process, without a relay around them.
package fleetslope

import "onyxroad.dev/onyxroad/internal/testbed/scale"

// Slopes returns the slopes of this package.
func Slopes() []scale.Slope {
	return []scale.Slope{memberRest(), memberJoin(), memberLossOne(), memberLossSixth(), memberCut(), memberView(),
		stewardHolders(), stewardDuties(), configListSlope()}
}
