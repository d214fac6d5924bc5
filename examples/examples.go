// Package examples provides the example contracts that ship with jaytack. The
// example settings are files next to it.
//
// # Usage
//
//	cs, err := examples.Contracts()
package examples

import (
	"embed"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

//go:embed contracts/*.yaml
var files embed.FS

// Contracts parses and returns the example contracts of both customers.
func Contracts() ([]contract.Contract, error) {
	var out []contract.Contract
	for _, name := range []string{"contracts/registro.yaml", "contracts/qasr-soft.yaml"} {
		text, err := files.ReadFile(name)
		if err != nil {
			return nil, err
		}
		c, problems := contract.Parse(name, text)
		if len(problems) > 0 {
			return nil, problems
		}
		out = append(out, c)
	}
	return out, nil
}
