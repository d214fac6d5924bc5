package contract

import (
	"net/netip"
	"sort"
)

// Index names every service number and address in use.
//
// All writes of contracts go through the index by compare-and-swap, so that
// two contracts never share an address or a number.
type Index struct {
	// Last is the highest service number ever assigned. Numbers are not used again.
	Last      ServiceNumber
	Customers map[Customer]IndexEntry
}

// IndexEntry is what one contract holds in the index.
type IndexEntry struct {
	Numbers   map[ServiceName]ServiceNumber
	Addresses []netip.AddrPort
}

// Conflict reports an address that another customer holds.
type Conflict struct {
	Address netip.AddrPort
	Holder  Customer
}

// Conflicts returns the addresses of c that other customers hold.
func (x Index) Conflicts(c Contract) []Conflict {
	holders := make(map[netip.AddrPort]Customer)
	for name, e := range x.Customers {
		if name == c.Customer {
			continue
		}
		for _, a := range e.Addresses {
			holders[a] = name
		}
	}
	var out []Conflict
	for _, s := range c.Services {
		for _, a := range s.Addresses {
			if h, ok := holders[a]; ok {
				out = append(out, Conflict{a, h})
			}
		}
	}
	return out
}

// Add records c and returns it with its service numbers assigned.
//
// A service keeps its number as long as the contract keeps its name.
func (x Index) Add(c Contract) (Index, Contract) {
	out := Index{Last: x.Last, Customers: make(map[Customer]IndexEntry, len(x.Customers)+1)}
	for k, v := range x.Customers {
		out.Customers[k] = v
	}
	entry := IndexEntry{Numbers: make(map[ServiceName]ServiceNumber)}
	services := make([]Service, len(c.Services))
	for i, s := range c.Services {
		n, ok := x.Customers[c.Customer].Numbers[s.Name]
		if !ok {
			out.Last++
			n = out.Last
		}
		s.Number = n
		entry.Numbers[s.Name] = n
		entry.Addresses = append(entry.Addresses, s.Addresses...)
		services[i] = s
	}
	c.Services = services
	out.Customers[c.Customer] = entry
	return out, c
}

// Remove drops a retired contract; its numbers are not used again.
func (x Index) Remove(name Customer) Index {
	out := Index{Last: x.Last, Customers: make(map[Customer]IndexEntry, len(x.Customers))}
	for k, v := range x.Customers {
		if k != name {
			out.Customers[k] = v
		}
	}
	return out
}

// Names returns the customers in order.
func (x Index) Names() []Customer {
	out := make([]Customer, 0, len(x.Customers))
	for k := range x.Customers {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
