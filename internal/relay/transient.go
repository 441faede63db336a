package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/sockets"
	"onyxroad.dev/onyxroad/internal/wal"
)

// Calls of the system that fail for a moment are made again: no start is refused for one.

const (
	// startRetryLimit is for how long a start makes a call again that fails. A relay has 30 s to be ready.
	startRetryLimit = 20 * time.Second
	retryDelay      = 20 * time.Millisecond

	forever = time.Duration(math.MaxInt64)
)

// transientErrors are errors that may pass by themselves.
var transientErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS,
	syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.ENOLCK,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
	syscall.ETIMEDOUT, syscall.EPROTO,
}

// localErrors are errors of socket and connect that come from this machine, whatever becomes of the one that is called.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ECONNABORTED,
	syscall.EINTR, syscall.EAGAIN,
}

// isLocalFailure tells whether a call has failed on this machine, and has reached nobody.
func isLocalFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, errno)
}

// isTransient tells whether a call that failed may succeed if it is made again.
func isTransient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}

// retryTransient makes a call until it succeeds, fails for good, ctx ends or most is over, and returns its last error.
func retryTransient(ctx context.Context, log *slog.Logger, what string, limit time.Duration, call func() error) error {
	began := clock.Now()
	for logged := false; ; logged = true {
		err := call()
		switch {
		case err == nil && logged:
			log.Info("a call that failed has succeeded", "call", what, "took", clock.Since(began))
			return nil
		case err == nil || !isTransient(err) || clock.Since(began) >= limit:
			return err
		case !logged:
			log.Warn("a call failed and is made again", "call", what, "err", err)
		}
		sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return err
		}
	}
}

const (
	// configRetryLimit is for how long a start reads a configuration again that can't be read.
	configRetryLimit = 5 * time.Second
	// reloadRetryLimit is for how long a configuration is read again that can't be read, or makes no sense: it may be half
	// written. What it tells counts as told 4 s after SIGHUP.
	reloadRetryLimit = 2 * time.Second
)

// LoadConfigWithRetry is LoadConfig, made again while the file can't be read for a reason that may pass.
func LoadConfigWithRetry(ctx context.Context, getenv func(string) string) (c Config, err error) {
	err = retryTransient(ctx, slog.Default(), "read the configuration", configRetryLimit, func() error {
		c, err = LoadConfig(getenv)
		return err
	})
	return c, err
}

// ReloadConfigWithRetry is ReloadConfig, made again for a while whatever its error.
func ReloadConfigWithRetry(ctx context.Context, getenv func(string) string) (c Config, err error) {
	for began := clock.Now(); ; sleep(ctx, retryDelay) {
		if c, err = ReloadConfig(getenv); err == nil || clock.Since(began) >= reloadRetryLimit || ctx.Err() != nil {
			return c, err
		}
	}
}

// listen listens on an address.
func listen(ctx context.Context, log *slog.Logger, what, addr string) (l *net.TCPListener, err error) {
	err = retryTransient(ctx, log, "listen for "+what, startRetryLimit, func() error {
		l, err = sockets.ListenTCP(addr)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("relay: %s: %w", what, err)
	}
	return l, nil
}

// acquireLog takes the log over, from a process that serves now or from one that has ended. One that has it and does not hand it over
// is waited for, until ctx ends.
func (r *Relay) acquireLog(ctx context.Context) error {
	for {
		err := retryTransient(ctx, r.log, "take the log over", startRetryLimit, r.takeUp)
		if !errors.Is(err, wal.ErrHeld) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, lockPause)
		r.startupBegan = clock.Now() // it could not have been ready before
	}
}
