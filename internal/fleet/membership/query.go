package membership

import (
	"net/netip"
	"sort"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

// Balancers returns the live balancers except this process, in order of address.
// The caller must not modify or keep the slice.
func (v *View) Balancers() []netip.AddrPort { return v.balancers }

// Group returns the agents of a service in order of address.
func (v *View) Group(s contract.ServiceNumber) []Member {
	out := make([]Member, 0, len(v.groups[s]))
	for _, r := range v.groups[s] {
		out = append(out, r.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address.Compare(out[j].Address) < 0 })
	return out
}

// IsConverging reports whether balancers may disagree about the service's candidates.
func (v *View) IsConverging(now instant.Instant, s contract.ServiceNumber) bool {
	changedAt, ok := v.serviceChangedAt[s]
	return ok && now.Sub(changedAt) < ConvergenceTime
}

// Candidates returns the agents of a service that take new flows.
//
// If all of them are suspect, it returns the suspect agents, since a flow on one of
// them may still succeed.
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

// SuspectBalancers returns the balancers that are suspect, in order of address.
func (v *View) SuspectBalancers() []netip.AddrPort {
	var out []netip.AddrPort
	for a, r := range v.groups[0] {
		if r.Role == Balancer && r.Suspect && r.State == Ready {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Compare(out[j]) < 0 })
	return out
}

// GroupDigest returns a hash of the live agents of a service.
func (v *View) GroupDigest(s contract.ServiceNumber) uint64 {
	var digest uint64
	for _, r := range v.groups[s] {
		if r.Role == Agent && r.IsLive() {
			digest ^= r.hash()
		}
	}
	return digest
}

// Digest returns a hash of all live records.
func (v *View) Digest() uint64 { return v.digest }

// BucketHashes returns a hash of the live records in each bucket.
func (v *View) BucketHashes() [BucketCount]uint64 { return v.bucketHashes }

// DifferingRecords returns the records in the buckets whose hashes differ from remote.
func (v *View) DifferingRecords(remote [BucketCount]uint64) []Member {
	var out []Member
	for a, r := range v.members {
		b := bucketIndex(a)
		if v.bucketHashes[b] != remote[b] {
			out = append(out, r.Member)
		}
	}
	return out
}

// All returns every record in order of address.
func (v *View) All() []Member {
	out := make([]Member, 0, len(v.members))
	for _, r := range v.members {
		out = append(out, r.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address.Compare(out[j].Address) < 0 })
	return out
}

// Len returns the number of records.
func (v *View) Len() int { return len(v.members) }
