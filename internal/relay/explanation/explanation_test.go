package explanation_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/explanation"
)

// logsByProcess holds the logs of three processes by process name.
var logsByProcess = map[string]string{
	"balancer-a": `Time=2026-05-11T10:00:00.1Z Level=Info Event=Started Role=Balancer
Time=2026-05-11T10:00:05.1Z Level=Info Event=PacketToHome Flow=100.64.0.1:1025>198.18.0.1:443 Home=10.2.0.1 Opens=true Version=9
Time=2026-05-11T10:00:05.2Z Level=Info Event=FlowReset Flow=100.64.0.3:1025>198.18.9.9:443 Reason=NoRoute Version=9
Time=2026-05-11T10:00:06.3Z Level=Info Event=PacketToHome Flow=100.64.0.2:1025>198.18.0.1:443 Home=10.2.0.1 Opens=false Version=9
`,
	"agent-1": `some text before  Time=2026-05-11T10:00:05.11Z Level=Info Event=FlowPlaced Flow=100.64.0.1:1025>198.18.0.1:443 Agent=10.2.0.2 Among=3
Time=2026-05-11T10:00:06.31Z Level=Info Event=OwnerSearched Flow=100.64.0.2:1025>198.18.0.1:443 Members=3 Settled=true
Time=2026-05-11T10:00:06.33Z Level=Info Event=FlowReset Flow=100.64.0.2:1025>198.18.0.1:443 Reason=AllUpstreamsDenied Denials=3 Took=20ms
not a line
`,
	"agent-2": `Time=2026-05-11T10:00:04.9Z Level=Info Event=UpstreamStateChanged State=StateReady Before=StateUnknown
Time=2026-05-11T10:00:05.12Z Level=Info Event=FlowWaits Flow=100.64.0.1:1025>198.18.0.1:443 InSystem=12 Waiting=40
Time=2026-05-11T10:00:30Z Level=Info Event=StoreLost By=Registry
`,
}

func TestExplain(t *testing.T) {
	tests := []struct{ name, flow string }{
		{"RefusedWithoutRoute", "100.64.0.3:1025>198.18.9.9:443"},
		{"CutByReset", "100.64.0.2:1025>198.18.0.1:443"},
		{"RanIntoItsDeadline", "100.64.0.1:1025>198.18.0.1:443"},
		{"MetNoProcess", "100.64.0.9:1025>198.18.0.1:443"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			collector := explanation.New(test.flow)
			for _, process := range []string{"balancer-a", "agent-1", "agent-2"} {
				qt.Assert(t, collector.Read(process, strings.NewReader(logsByProcess[process])), qt.IsNil)
			}
			got := collector.Explain().String()
			golden := filepath.Join("testdata", test.name+".golden")
			if os.Getenv("JAYTACK_UPDATE") != "" {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}
