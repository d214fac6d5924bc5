package contract

import (
	"net/netip"
)

// Index lists all service numbers and addresses in use.
//
// Every write of a contract also updates the index by compare-and-swap, so that
// two contracts never share an address or a number.
type Index struct {
	// Last is the highest service number ever assigned. Numbers are never reused.
	Last      ServiceNumber
	Customers map[Customer]IndexEntry
}

// IndexEntry lists the service numbers and addresses of one contract.
type IndexEntry struct {
	Numbers   map[ServiceName]ServiceNumber
	Addresses []netip.AddrPort
}

// Conflict is an address that already belongs to another customer.
type Conflict struct {
	Address netip.AddrPort
	Holder  Customer
}

// Conflicts returns the addresses of c that belong to other customers.
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

// Add returns the index with c added or replaced, and c with service numbers.
//
// A service keeps its number as long as its name stays in the contract.
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

// Remove returns the index without a retired contract. Its numbers are never reused.
func (x Index) Remove(name Customer) Index {
	out := Index{Last: x.Last, Customers: make(map[Customer]IndexEntry, len(x.Customers))}
	for k, v := range x.Customers {
		if k != name {
			out.Customers[k] = v
		}
	}
	return out
}
