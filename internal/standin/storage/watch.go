package storage

import (
	"encoding/json"
	"net/http"
	"time"
)

// watchPollInterval is how often a watch checks for expired leases and a disconnected client.
const watchPollInterval = 100 * time.Millisecond

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls.Watches++
	restores := s.restores
	s.mu.Unlock()
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	enc := json.NewEncoder(w)
	next := 0
	for r.Context().Err() == nil {
		events, cut := s.awaitEvents(req.Create, &next, restores)
		if cut {
			panic(http.ErrAbortHandler)
		}
		if len(events) == 0 {
			continue
		}
		var res watchResponse
		res.Result.Events = events
		if enc.Encode(res) != nil || rc.Flush() != nil {
			return
		}
	}
}

// awaitEvents returns the next events of a watch, or none after watchPollInterval. It
// reports cut if faults or a restore since the watch began end the watch.
func (s *Store) awaitEvents(c watchCreate, next *int, restores int) (events []watchEvent, cut bool) {
	timer := time.AfterFunc(watchPollInterval, func() {
		s.mu.Lock()
		s.historyChanged.Broadcast()
		s.mu.Unlock()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if *next >= len(s.history) {
		s.historyChanged.Wait()
	}
	if s.faults.Down || s.faults.CutWatches || s.restores != restores {
		return nil, true
	}
	for ; *next < len(s.history); *next++ {
		e := s.history[*next]
		if e.revision < c.StartRevision || !inRange([]byte(e.key), c.Key, c.RangeEnd) {
			continue
		}
		we := watchEvent{Kv: keyValue{[]byte(e.key), e.value, e.revision, 0}}
		if e.deleted {
			we.Type = "DELETE"
		}
		events = append(events, we)
	}
	return events, false
}
