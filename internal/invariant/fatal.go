//go:build !testbed

package invariant

// violationHook is nil: a relay in service counts a violation and goes on.
var violationHook func(string)
