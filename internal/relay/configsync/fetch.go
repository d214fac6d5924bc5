package configsync

import (
	"context"
	"net/netip"
	"time"

	"github.com/jaytack/jaytack/internal/relay/routes"
)

// Refresh requests a fetch from a peer that has reported a newer version.
func (s *Syncer) Refresh(peer netip.Addr, v routes.Version) {
	s.newerVersion.Store(&reportedVersion{v, peer})
	notify(s.refreshRequests)
}

// fetchFromPeers fetches the versions that balancers report. It runs apart from the calls
// to the store, so that neither holds back the other.
func (s *Syncer) fetchFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.refreshRequests:
		}
		if r := s.newerVersion.Swap(nil); r != nil && r.Version > s.version() {
			s.fetch(ctx, *r)
		}
	}
}

// fetch applies the value of a peer. The store is read as well if the fetch fails, takes
// longer than fetchHedgeDelay, or brings an older version than was reported.
func (s *Syncer) fetch(ctx context.Context, r reportedVersion) {
	start := time.Now()
	slow := time.AfterFunc(fetchHedgeDelay, func() { notify(s.readRequests) })
	defer slow.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setFetch(cancel, r.Version)
	value, err := s.FetchFromPeer(ctx, r.from)
	s.setFetch(nil, 0)
	if err != nil && s.version() >= r.Version {
		// The store answered first.
		return
	}
	if err != nil {
		s.Warn("ConfigurationUnfetched", "From", r.from, "Reported", r.Version, "Took", time.Since(start), "Reason", err)
		notify(s.readRequests)
		return
	}
	if c, ok := s.apply(value, peerSource); ok {
		s.Info("ConfigurationFetched", "From", r.from, "Reported", r.Version, "Version", c.Version, "Took", time.Since(start))
	}
	if s.version() < r.Version {
		notify(s.readRequests)
	}
}

func (s *Syncer) setFetch(cancel context.CancelFunc, v routes.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelFetch, s.fetchedVersion = cancel, v
}

func (s *Syncer) setFirstRead(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelFirstRead = cancel
}

// cancelNeedless cancels the calls in progress whose answer the latest configuration makes
// needless: on a slow link a large configuration takes long, and longer still twice. The caller
// holds mu.
func (s *Syncer) cancelNeedless(source string) {
	switch {
	case source != peerSource:
		if s.cancelFetch != nil && s.latest.version >= s.fetchedVersion {
			s.cancelFetch()
		}
	case s.cancelFirstRead != nil && s.MaySkipRead != nil && s.MaySkipRead():
		s.cancelFirstRead()
	}
}
