// Command jaytack is a layer-4 load balancer and its tools.
package main

import (
	"os"

	"github.com/jaytack/jaytack/internal/role/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
