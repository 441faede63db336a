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
	// startMost is for how long a start makes a call again that fails. A relay has 30 s to be ready.
	startMost  = 20 * time.Second
	startPause = 20 * time.Millisecond

	forever = time.Duration(math.MaxInt64)
)

// passing are errors that may pass by themselves.
var passing = []syscall.Errno{
	syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS,
	syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.ENOLCK,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
	syscall.ETIMEDOUT, syscall.EPROTO,
}

// local are errors of socket and connect that come from this machine, whatever becomes of the one that is called.
var local = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ECONNABORTED,
	syscall.EINTR, syscall.EAGAIN,
}

// failedHere tells whether a call has failed on this machine, and has reached nobody.
func failedHere(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(local, errno)
}

// mayPass tells whether a call that failed may succeed if it is made again.
func mayPass(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(passing, errno)
}

// persist makes a call until it succeeds, fails for good, ctx ends or most is over, and returns its last error.
func persist(ctx context.Context, log *slog.Logger, what string, most time.Duration, call func() error) error {
	began := clock.Now()
	for told := false; ; told = true {
		err := call()
		switch {
		case err == nil && told:
			log.Info("a call that failed has succeeded", "call", what, "took", clock.Since(began))
			return nil
		case err == nil || !mayPass(err) || clock.Since(began) >= most:
			return err
		case !told:
			log.Warn("a call failed and is made again", "call", what, "err", err)
		}
		sleep(ctx, startPause)
		if ctx.Err() != nil {
			return err
		}
	}
}

const (
	// configMost is for how long a start reads a configuration again that can't be read.
	configMost = 5 * time.Second
	// reloadMost is for how long a configuration is read again that can't be read, or makes no sense: it may be half
	// written. What it tells counts as told 4 s after SIGHUP.
	reloadMost = 2 * time.Second
)

// LoadConfigWithin is LoadConfig, made again while the file can't be read for a reason that may pass.
func LoadConfigWithin(ctx context.Context, getenv func(string) string) (c Config, err error) {
	err = persist(ctx, slog.Default(), "read the configuration", configMost, func() error {
		c, err = LoadConfig(getenv)
		return err
	})
	return c, err
}

// ReloadConfigWithin is ReloadConfig, made again for a while whatever its error.
func ReloadConfigWithin(ctx context.Context, getenv func(string) string) (c Config, err error) {
	for began := clock.Now(); ; sleep(ctx, startPause) {
		if c, err = ReloadConfig(getenv); err == nil || clock.Since(began) >= reloadMost || ctx.Err() != nil {
			return c, err
		}
	}
}

// listen listens on an address.
func listen(ctx context.Context, log *slog.Logger, what, addr string) (l *net.TCPListener, err error) {
	err = persist(ctx, log, "listen for "+what, startMost, func() error {
		l, err = sockets.ListenTCP(addr)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("relay: %s: %w", what, err)
	}
	return l, nil
}

// begin takes the log over, from a process that serves now or from one that has ended. One that has it and does not hand it over
// is waited for, until ctx ends.
func (r *Relay) begin(ctx context.Context) error {
	for {
		err := persist(ctx, r.log, "take the log over", startMost, r.takeOver)
		if !errors.Is(err, wal.ErrHeld) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, lockRetryInterval)
		r.begun = clock.Now() // it could not have been ready before
	}
}
