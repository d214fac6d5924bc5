// Command jaytack is a layer-4 load balancer and its tools.
package main

import (
	"os"

	"github.com/jaytack/jaytack/internal/role/command"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == checkName {
		os.Exit(check(os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
