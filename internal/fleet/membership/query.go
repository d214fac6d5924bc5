package membership

import (
	"net/netip"
	"sort"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

// Balancers returns the live balancers but for this process, in order of address.
// The slice must not be changed or kept.
func (v *View) Balancers() []netip.AddrPort { return v.balancers }

// Group returns the agents of a service in order of address.
func (v *View) Group(s contract.ServiceNumber) []Member {
	out := make([]Member, 0, len(v.groups[s]))
	for _, e := range v.groups[s] {
		out = append(out, e.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address.Compare(out[j].Address) < 0 })
	return out
}

// IsConverging reports whether balancers may disagree about the service's candidates.
func (v *View) IsConverging(now instant.Instant, s contract.ServiceNumber) bool {
	at, ok := v.changed[s]
	return ok && now.Sub(at) < SettleAfter
}

// Candidates returns the agents of a service that take new flows.
//
// Where all of them are suspect it returns these: a flow on a suspect agent may
// succeed, one on none cannot.
func (v *View) Candidates(s contract.ServiceNumber) []placement.Candidate {
	var live, suspect []placement.Candidate
	for _, m := range v.Group(s) {
		if m.Role != Agent || m.State != Ready || m.Weight == 0 {
			continue
		}
		c := placement.Candidate{Agent: m.Address, Weight: m.Weight}
		if m.Suspect {
			suspect = append(suspect, c)
		} else {
			live = append(live, c)
		}
	}
	if len(live) == 0 {
		return suspect
	}
	return live
}

// Lost returns the balancers that are suspect, in order of address.
func (v *View) Lost() []netip.AddrPort {
	var out []netip.AddrPort
	for a, e := range v.groups[0] {
		if e.Role == Balancer && e.Suspect && e.State == Ready {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Compare(out[j]) < 0 })
	return out
}

// GroupDigest returns a hash of the live agents of a service.
func (v *View) GroupDigest(s contract.ServiceNumber) uint64 {
	var d uint64
	for _, e := range v.groups[s] {
		if e.Role == Agent && e.IsLive() {
			d ^= e.hash()
		}
	}
	return d
}

// Digest returns a hash of all live records.
func (v *View) Digest() uint64 { return v.digest }

// BucketHashes returns a hash for each part of the view.
func (v *View) BucketHashes() [Buckets]uint64 { return v.buckets }

// Differing returns the records in the parts whose hashes differ from theirs.
func (v *View) Differing(theirs [Buckets]uint64) []Member {
	var out []Member
	for a, e := range v.members {
		b := bucketOf(a)
		if v.buckets[b] != theirs[b] {
			out = append(out, e.Member)
		}
	}
	return out
}

// All returns every record in order of address.
func (v *View) All() []Member {
	out := make([]Member, 0, len(v.members))
	for _, e := range v.members {
		out = append(out, e.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address.Compare(out[j].Address) < 0 })
	return out
}

// Len returns the number of records.
func (v *View) Len() int { return len(v.members) }
