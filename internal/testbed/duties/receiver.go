package duties

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"

	"onyxroad.dev/onyxroad/internal/duty"
)

// receiver accepts effects over HTTP and refuses those with an old epoch by a duty.Fence, as every receiver of effects does.
type receiver struct {
	index   int
	dir     string
	noFence bool
	server  *http.Server
	addr    string

	mu      sync.Mutex
	fence   *duty.Fence
	effects []Effect
}

func newReceiver(index int, addr, dir string, noFence bool) (*receiver, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	r := &receiver{index: index, dir: dir, noFence: noFence}
	if err := r.restart(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	r.addr = listener.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.handleEffect)}
	go r.server.Serve(listener)
	return r, nil
}

// restart simulates a restart: the fence is read from disk again.
func (r *receiver) restart() (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence, err = duty.OpenFence(r.dir)
	return err
}

func (r *receiver) handleEffect(w http.ResponseWriter, req *http.Request) {
	var e effect
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 4096)).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	received := MonotonicTime()
	r.mu.Lock()
	defer r.mu.Unlock()
	err := error(nil)
	if !r.noFence {
		err = r.fence.Admit(e.Duty, e.Epoch)
	}
	r.effects = append(r.effects, Effect{Worker: e.Worker, Duty: e.Duty, Receiver: r.index, Epoch: e.Epoch, Sent: e.Sent, Received: received,
		Processed: MonotonicTime(), Accepted: err == nil})
	if errors.Is(err, duty.ErrFenced) {
		http.Error(w, err.Error(), http.StatusConflict)
	} else if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
