package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/relay/explanation"
)

type explainCmd struct {
	Flow string   `arg:"" help:"The flow, CALLER:PORT>ADDRESS:PORT."`
	Logs []string `arg:"" type:"existingfile" help:"The log files, one for each process."`
}

// Run prints the log lines of a flow and the cause of its end.
func (c *explainCmd) Run(s *streams) error {
	r := explanation.New(c.Flow)
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return eris.Wrap(err, "log")
		}
		err = r.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(s.out, r.Explain())
	return err
}
