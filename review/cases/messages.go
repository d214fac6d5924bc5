package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// files holds the messages and names of the platform, so that the code uses none of its names.
//
//go:embed messages
var files embed.FS

var templates = template.Must(template.New("").Funcs(template.FuncMap{"json": encodeJSON}).ParseFS(files, "messages/*.tmpl"))

// Names of the platform: the paths of heartbeats and of the notice that a target leaves, which its
// id follows, the variable with the path of the settings file, and the store's key of the
// configuration.
var (
	heartbeatPath    = readName("heartbeat-path")
	leavePath        = readName("leave-path")
	settingsVariable = readName("settings-variable")
	configurationKey = readName("configuration-key")
)

func readName(file string) string {
	b, err := files.ReadFile("messages/" + file + ".txt")
	if err != nil {
		panic(err)
	}
	return string(b)
}

func encodeJSON(x any) (string, error) {
	b, err := json.Marshal(x)
	return string(b), err
}

// encodeMessage returns the text of a message.
func encodeMessage(name string, fields any) ([]byte, error) {
	var b bytes.Buffer
	err := templates.ExecuteTemplate(&b, name+".tmpl", fields)
	return b.Bytes(), err
}

// heartbeat holds the fields of a heartbeat. Without an address, the zone, version, capacity and
// remaining warm-up time are missing too.
type heartbeat struct {
	Service, Address, Zone, State string
	Capacity                      int
	Sequence, Born                int64
}

// configuredRoute is a route of a configuration.
type configuredRoute struct {
	Host    string
	Port    uint16
	Service string
}

// configuration holds the fields of a configuration.
type configuration struct {
	Version    int
	Routes     []configuredRoute
	Services   []string
	IdleMillis int64
}

// daemonSettings holds the fields of a daemon's settings. App is empty for a front.
type daemonSettings struct {
	Name, Role, Class, IP, Zone       string
	Zones                             map[string]string
	Callers, Ready, Outbound, Control string
	App, Service, Store               string
	Peers, LastPeers                  uint16
	HeartbeatMillis, DrainMillis      int64
	LifetimeSeconds                   float64
}
