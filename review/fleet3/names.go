package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds the names of the platform that the stand-ins use. Source files outside the
// platform's package do not contain them.
var names = func() (n struct {
	Datagrams, WarmUpLeft, IdleTimeout, SettingsEnv, ConfigurationKey string
	ListPath, HeartbeatPath, LeavePath                                string
},
) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()
