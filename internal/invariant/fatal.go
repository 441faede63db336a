//go:build !testbed

package invariant

// violationHook is nil: a relay in production counts a violation and continues.
var violationHook func(string)
