// Package integration proves what must always hold with real processes: its
// tests start entry VMs from the built program, put proxies that inject
// faults between them and everything that they speak to, let callers at them
// and have package invariant judge what happened.
//
// Stand-ins of the platform and of the backend servers run inside the test
// process. Toxiproxy's package carries callers, the log service, the VM list
// and backend servers; a small relay carries the traffic between VMs, which
// is TCP and UDP and has to be cut for pairs of VMs.
//
// # Usage
//
//	go test ./internal/integration                                   # all faults
//	go test ./internal/integration -results docs/RESULTS-faults.md   # and write the table
//
// A test that fails for a known fault stands in KNOWN-RED.txt at the root of
// the repository; it prints its line and is passed over.
package integration
