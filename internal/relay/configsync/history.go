package configsync

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// HistoryKey is the store key of the history of the routes.
const HistoryKey store.Key = store.Prefix + "routes"

const (
	// historyCheckInterval is how often Due is called.
	historyCheckInterval = 500 * time.Millisecond
	// maxServiceNameBytes is the maximum length of a service's name in a history.
	maxServiceNameBytes = 200
)

// HistoryConfig holds the callbacks of a HistorySyncer. All fields are set.
type HistoryConfig struct {
	// OnStored is called with what the store holds.
	OnStored func([]routes.History)
	// Wanted reports whether the process has a configuration, without which it has no use for the
	// history: at a start, both would share a link that may be slow.
	Wanted func() bool
	// Due returns the history that this process has to write, if it has to.
	Due func() (history []routes.History, due bool)
}

// HistorySyncer keeps the history of the routes in the store, so that a balancer that starts
// learns of the services that a route has left. Unlike members and checkpoints the history has
// no lease: flows outlive all balancers.
type HistorySyncer struct {
	HistoryConfig
	*eventlog.Logger
	store  *store.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

	revision   store.Revision
	retryDelay time.Duration
	failing    bool
}

// NewHistory returns a syncer that runs until Close.
func NewHistory(cfg HistoryConfig, st *store.Client, logger *eventlog.Logger) *HistorySyncer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &HistorySyncer{HistoryConfig: cfg, Logger: logger, store: st, cancel: cancel}
	s.done.Go(func() { s.run(ctx) })
	return s
}

// Close stops the syncer.
func (s *HistorySyncer) Close() {
	s.cancel()
	s.done.Wait()
}

// run reads the history at the start and in each new era of the store, and writes it when it
// is due.
func (s *HistorySyncer) run(ctx context.Context) {
	var readIn store.Era
	read := false
	for ctx.Err() == nil {
		delay := historyCheckInterval
		var err error
		if !read && !s.Wanted() {
			wait(ctx, startupRetryMax)
			continue
		}
		if era := s.store.Era(); !read || era != readIn {
			err = s.read(ctx)
			read, readIn = err == nil, s.store.Era()
		} else if _, due := s.Due(); due {
			err = s.write(ctx)
		}
		if err != nil {
			delay = max(s.retryDelay, startupRetryMin)
			s.retryDelay = min(2*delay, retryMax)
		} else {
			s.retryDelay = 0
		}
		s.reportFailure(ctx, err)
		wait(ctx, delay)
	}
}

// reportFailure logs the first of a series of failures.
func (s *HistorySyncer) reportFailure(ctx context.Context, err error) {
	if err != nil && !s.failing && ctx.Err() == nil {
		s.Warn("StoreLost", "By", "History", "Reason", err)
	}
	if err == nil && s.failing {
		s.Info("StoreRegained", "By", "History")
	}
	s.failing = err != nil
}

// read reads the history that the store holds. One that cannot be decoded counts as empty, so
// that it is written anew.
func (s *HistorySyncer) read(ctx context.Context) error {
	kv, err := s.store.Get(ctx, HistoryKey)
	if err != nil {
		return err
	}
	s.revision = kv.Revision
	if kv.Revision == 0 {
		s.OnStored(nil)
		return nil
	}
	history, err := decodeHistory(kv.Value)
	if err != nil {
		s.Warn("HistoryUnreadable", "Key", HistoryKey, "Revision", kv.Revision, "Bytes", len(kv.Value), "Reason", err)
	}
	s.OnStored(history)
	return nil
}

// write writes the history if the store still lacks a part of it. After a write that failed
// or lost against another one, the next call of Due decides anew.
func (s *HistorySyncer) write(ctx context.Context) error {
	if err := s.read(ctx); err != nil {
		return err
	}
	history, due := s.Due()
	if !due {
		return nil
	}
	value, err := encodeHistory(history)
	if err != nil {
		return err
	}
	_, ok, err := s.store.Commit(ctx, []store.Compare{{Key: HistoryKey, Revision: s.revision}}, []store.Put{{Key: HistoryKey, Value: value}})
	if err != nil || !ok {
		return err
	}
	s.Info("HistoryWritten", "Addresses", len(history), "Bytes", len(value), "Before", s.revision)
	s.OnStored(history)
	return nil
}

// wait waits for d or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// storedRoute is the history of one address as it is stored.
type storedRoute struct {
	Address  netip.AddrPort
	Services []string
}

func encodeHistory(history []routes.History) ([]byte, error) {
	out := make([]storedRoute, 0, len(history))
	for _, h := range history {
		out = append(out, storedRoute{h.Address.AddrPort(), h.Services})
	}
	return json.Marshal(out)
}

// decodeHistory decodes a stored history. Another writer may have left it, so that it may hold
// anything.
func decodeHistory(value []byte) ([]routes.History, error) {
	var in []storedRoute
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, eris.Wrap(err, "history")
	}
	out := make([]routes.History, 0, len(in))
	for _, r := range in {
		a := flow.EndpointOf(r.Address)
		if a.IP == 0 || a.Port == 0 {
			return nil, eris.Errorf("history: address %v", r.Address)
		}
		for _, service := range r.Services {
			if service == "" || len(service) > maxServiceNameBytes {
				return nil, eris.Errorf("history: service of %d bytes", len(service))
			}
		}
		out = append(out, routes.History{Address: a, Services: r.Services})
	}
	return out, nil
}
