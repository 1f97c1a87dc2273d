// Command alderdyke-platform runs one entry VM on the users' platform. The path of its
// settings file is taken from the environment.
//
// # Usage
//
//	ALDERDYKE_CONFIG=/etc/alderdyke/local.toml alderdyke-platform
//	alderdyke-platform check /etc/alderdyke/local.toml
//	alderdyke-platform where /etc/alderdyke/local.toml POST /v1/chat --host api.example --tokens 5000
package main

import (
	"os"

	"alderdyke/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Getenv(platform.SettingsVariable), os.Stdout, os.Stderr))
}
