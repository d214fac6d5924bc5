package main

import (
	"bytes"
	"embed"
	"text/template"
)

// files holds the messages that the stand-ins send, as templates.
//
//go:embed messages
var files embed.FS

var templates = template.Must(template.ParseFS(files, "messages/*.tmpl"))

// heartbeatPath is the path of heartbeats; a target's id follows.
var heartbeatPath = func() string {
	b, err := files.ReadFile("messages/heartbeat-path.txt")
	if err != nil {
		panic(err)
	}
	return string(b)
}()

// encodeMessage returns the text of a message.
func encodeMessage(name string, fields any) ([]byte, error) {
	var b bytes.Buffer
	err := templates.ExecuteTemplate(&b, name+".tmpl", fields)
	return b.Bytes(), err
}

// settingsMessage holds the fields of a settings file.
type settingsMessage struct {
	Name, Role, Class, IP, Zone, Service           string
	Datagram, Ready, Control, Outbound, App, Store string
	InternalPort, LastInternalPort                 int
	HeartbeatMillis, StableMillis, DrainMillis     int64
	GraceSeconds                                   float64
}

// routeMessage holds the fields of a route.
type routeMessage struct {
	Host          string
	Port          uint16
	TimeoutMillis int64
	Service       string
}

// configurationMessage holds the fields of a configuration.
type configurationMessage struct {
	Version    int
	Routes     []routeMessage
	Services   []string
	IdleMillis int64
}

// heartbeatMessage holds the fields of a heartbeat.
type heartbeatMessage struct {
	Service, Address, Zone, State string
	Slots, Sequence               int
	Born                          int64
}
