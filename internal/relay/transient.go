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

// System calls that fail temporarily are retried, so that such a failure does not prevent a start.

const (
	// startRetryLimit is how long a start retries a failing call. A relay has 30 s to become ready.
	startRetryLimit = 20 * time.Second
	retryDelay      = 20 * time.Millisecond

	forever = time.Duration(math.MaxInt64)
)

// transientErrors may go away by themselves.
var transientErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS,
	syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.ENOLCK,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
	syscall.ETIMEDOUT, syscall.EPROTO,
}

// localErrors are errors of socket and connect that this machine causes, independent of the remote host.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ECONNABORTED,
	syscall.EINTR, syscall.EAGAIN,
}

// isLocalFailure reports whether a call failed on this machine, without reaching the remote host.
func isLocalFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, errno)
}

// isTransient reports whether a call that failed may succeed if it is repeated.
func isTransient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}

// retryTransient repeats a call until it succeeds, fails permanently, ctx ends or limit has passed. It returns its last
// error.
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
	// configRetryLimit is how long a start retries reading an unreadable configuration.
	configRetryLimit = 5 * time.Second
	// reloadRetryLimit is how long a reload retries an unreadable or invalid configuration, which may be half written. A
	// new configuration must be in force 4 s after SIGHUP.
	reloadRetryLimit = 2 * time.Second
)

// LoadConfigWithRetry calls LoadConfig, and repeats it while reading the file fails with a transient error.
func LoadConfigWithRetry(ctx context.Context, getenv func(string) string) (c Config, err error) {
	err = retryTransient(ctx, slog.Default(), "read the configuration", configRetryLimit, func() error {
		c, err = LoadConfig(getenv)
		return err
	})
	return c, err
}

// ReloadConfigWithRetry calls ReloadConfig, and repeats it for a while after any error.
func ReloadConfigWithRetry(ctx context.Context, getenv func(string) string) (c Config, err error) {
	for began := clock.Now(); ; sleep(ctx, retryDelay) {
		if c, err = ReloadConfig(getenv); err == nil || clock.Since(began) >= reloadRetryLimit || ctx.Err() != nil {
			return c, err
		}
	}
}

// listen listens on an address, retrying transient failures.
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

// acquireLog takes over the log from a running process or from one that has ended. If a process holds the log and does
// not hand it over, acquireLog waits until ctx ends.
func (r *Relay) acquireLog(ctx context.Context) error {
	for {
		err := retryTransient(ctx, r.log, "take over the log", startRetryLimit, r.takeOver)
		if !errors.Is(err, wal.ErrLocked) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, lockRetryInterval)
		r.startupBegan = clock.Now() // it could not have been ready before
	}
}
