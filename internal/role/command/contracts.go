package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/role/operator"
)

// platformFlags hold the store's addresses and the key that authenticates to the
// fleet.
type platformFlags struct {
	Store     []string      `env:"JAYTACK_STORE" required:"" help:"Addresses of the store."`
	SystemKey string        `env:"JAYTACK_SYSTEM_KEY" type:"path" help:"The file with the system key; without it nothing is delivered or confirmed."`
	Timeout   time.Duration `default:"10s" help:"The time limit of the command."`
	Output    string        `enum:"table,json" default:"table" help:"table or json."`
}

func (f platformFlags) newOperator() (*operator.Operator, error) {
	var endpoints []netip.AddrPort
	for _, text := range f.Store {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, contract.Problems{{File: "--store", Line: 1, Field: text, Reason: "is not an IP address with a port"}}
		}
		endpoints = append(endpoints, a)
	}
	var id *identity.Identity
	if f.SystemKey != "" {
		var err error
		if id, err = identity.Load(f.SystemKey); err != nil {
			return nil, err
		}
	}
	return operator.New(store.New(endpoints, storeTimeout), id), nil
}

// withOperator calls do with an operator and a context that ends after f.Timeout.
func (f platformFlags) withOperator(do func(ctx context.Context, o *operator.Operator) error) error {
	o, err := f.newOperator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	return do(ctx, o)
}

type contractCmd struct {
	Create   createCmd   `cmd:"" help:"Create the contract of a new customer."`
	Change   changeCmd   `cmd:"" help:"Change a contract."`
	Retire   retireCmd   `cmd:"" help:"Retire a contract."`
	List     listCmd     `cmd:"" help:"List the contracts."`
	Show     showCmd     `cmd:"" help:"Show a contract."`
	Validate validateCmd `cmd:"" help:"Check a contract file without writing anything."`
}

// result is the output of a command that writes a contract.
type result struct {
	Customer  contract.Customer
	Revision  contract.Revision
	Retired   bool
	Delivered int
	// InForce is the number of balancers that confirmed the revision.
	InForce     int
	Differences []contract.Difference `json:",omitempty"`
}

func readContract(path string) (contract.Contract, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return contract.Contract{}, contract.Problems{{File: path, Line: 1, Field: "document", Reason: err.Error()}}
	}
	c, problems := contract.Parse(path, text)
	if len(problems) > 0 {
		return contract.Contract{}, problems
	}
	return c, nil
}

type validateCmd struct {
	File string `arg:"" type:"path" help:"The contract in YAML."`
}

// Run checks a contract file.
func (c *validateCmd) Run(s *streams) error {
	v, err := readContract(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: the contract of %s is valid\n", c.File, v.Customer)
	return err
}

// writeFlags are the flags of the commands that write a contract.
type writeFlags struct {
	platformFlags
	NoWait bool `help:"Do not wait until the balancers confirm."`
}

// writeAndDeliver writes a contract, delivers it to balancers, waits until they confirm
// it unless f.NoWait is set, and prints the result.
func (f writeFlags) writeAndDeliver(ctx context.Context, s *streams, o *operator.Operator, write func() (operator.Accepted, error), diff []contract.Difference) error {
	seeds := o.Seeds(ctx)
	accepted, err := write()
	if err != nil {
		return err
	}
	e := accepted.Entry
	r := result{Customer: e.Customer, Revision: e.Revision, Retired: e.Stored.Retired, Differences: diff}
	var waitErr error
	if len(seeds) > 0 {
		r.Delivered = o.Deliver(ctx, seeds, e)
		if !f.NoWait {
			r.InForce, waitErr = o.AwaitInForce(ctx, seeds, e)
		}
	}
	if err := f.print(s.out, r); err != nil {
		return err
	}
	return waitErr
}

func (f writeFlags) print(w io.Writer, r result) error {
	if f.Output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintf(w, "%s: %s -> %s\n", d.Field, orNone(d.Before), orNone(d.After)); err != nil {
			return err
		}
	}
	state := "accepted"
	if r.Retired {
		state = "retired"
	}
	_, err := fmt.Fprintf(w, "%s: %s as revision %d, in force on %d balancers\n", r.Customer, state, r.Revision, r.InForce)
	return err
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

type createCmd struct {
	writeFlags
	File string `arg:"" type:"path" help:"The contract in YAML."`
}

// Run creates a contract.
func (c *createCmd) Run(s *streams) error {
	v, err := readContract(c.File)
	if err != nil {
		return err
	}
	return c.withOperator(func(ctx context.Context, o *operator.Operator) error {
		return c.writeAndDeliver(ctx, s, o, func() (operator.Accepted, error) { return o.Create(ctx, v) }, nil)
	})
}

type changeCmd struct {
	writeFlags
	File     string            `arg:"" type:"path" help:"The contract in YAML."`
	Revision contract.Revision `help:"The revision that the change is based on; default: the latest."`
	DryRun   bool              `help:"Show the differences without writing."`
}

// Run changes a contract and prints the differences.
func (c *changeCmd) Run(s *streams) error {
	v, err := readContract(c.File)
	if err != nil {
		return err
	}
	return c.withOperator(func(ctx context.Context, o *operator.Operator) error {
		before, err := o.Show(ctx, v.Customer)
		if err != nil {
			return err
		}
		base := c.Revision
		if base == 0 {
			base = before.Revision
		}
		diff := contract.Diff(before.Stored.Contract, v)
		if c.DryRun {
			return c.print(s.out, result{Customer: v.Customer, Revision: before.Revision, Differences: diff})
		}
		return c.writeAndDeliver(ctx, s, o, func() (operator.Accepted, error) { return o.Change(ctx, v, base) }, diff)
	})
}

type retireCmd struct {
	writeFlags
	Customer contract.Customer `arg:"" help:"The customer."`
	Revision contract.Revision `help:"The revision that the contract must have; default: any."`
}

// Run retires a contract.
func (c *retireCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *operator.Operator) error {
		return c.writeAndDeliver(ctx, s, o, func() (operator.Accepted, error) { return o.Retire(ctx, c.Customer, c.Revision) }, nil)
	})
}

type listCmd struct {
	platformFlags
}

// summary is one row of the list of contracts.
type summary struct {
	Customer contract.Customer
	Revision contract.Revision
	State    string
	Services int
	Written  time.Time
}

// Run lists the contracts.
func (c *listCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *operator.Operator) error {
		entries, err := o.List(ctx)
		if err != nil {
			return err
		}
		var out []summary
		for _, e := range entries {
			state := "InForce"
			if e.Stored.Retired {
				state = "Retired"
			}
			out = append(out, summary{e.Customer, e.Revision, state, len(e.Stored.Contract.Services), e.Stored.Written})
		}
		if c.Output == "json" {
			return json.NewEncoder(s.out).Encode(out)
		}
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "Customer\tRevision\tState\tServices\tWritten")
		for _, v := range out {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\n", v.Customer, v.Revision, v.State, v.Services, v.Written.Format(time.RFC3339))
		}
		return w.Flush()
	})
}

type showCmd struct {
	platformFlags
	Customer contract.Customer `arg:"" help:"The customer."`
}

// Run prints a contract as JSON, or as YAML that the change command accepts.
func (c *showCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *operator.Operator) error {
		e, err := o.Show(ctx, c.Customer)
		if err != nil {
			return err
		}
		if c.Output == "json" {
			return json.NewEncoder(s.out).Encode(e)
		}
		v := e.Stored.Contract
		for i := range v.Services {
			v.Services[i].Number = 0
		}
		text, err := yaml.Marshal(v)
		if err != nil {
			return err
		}
		state := "in force"
		if e.Stored.Retired {
			state = "retired"
		}
		_, err = fmt.Fprintf(s.out, "# Revision %d, %s, written %s\n%s", e.Revision, state, e.Stored.Written.Format(time.RFC3339), text)
		return err
	})
}

type statusCmd struct {
	platformFlags
}

// Run prints the fleet's status as seen by one balancer.
func (c *statusCmd) Run(s *streams) error {
	return c.withOperator(func(ctx context.Context, o *operator.Operator) error {
		st, err := o.Status(ctx, o.Seeds(ctx))
		if err != nil {
			return err
		}
		if c.Output == "json" {
			return json.NewEncoder(s.out).Encode(st)
		}
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "Role\tAddress\tDataCentre\tService\tState\tWeight\tIncarnation")
		for _, m := range st.Members {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\n", m.Role, m.Address, m.DataCentre, m.Service, memberState(m), m.Weight, m.Incarnation)
		}
		_, _ = fmt.Fprintln(w, "\nCustomer\tRevision")
		for _, v := range st.Versions {
			_, _ = fmt.Fprintf(w, "%s\t%d\n", v.Customer, v.Revision)
		}
		return w.Flush()
	})
}

func memberState(m membership.Member) string {
	if m.Suspect {
		return "Suspect"
	}
	return m.State.String()
}
