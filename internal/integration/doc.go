// Package integration tests with real processes that the invariants always
// hold: its tests start entry VMs from the built program, put proxies that
// inject faults between them and everything that they communicate with, send
// calls to them, and let package invariant check the recorded history.
//
// Stand-ins for the platform and for the backend servers run inside the test
// process. Toxiproxy's package proxies the connections to callers, the log
// service, the VM list and backend servers. A small relay forwards the traffic
// between VMs, because it is TCP and UDP and must be cut for single pairs of
// VMs.
//
// # Usage
//
//	go test ./internal/integration                                   # run all tests
//	go test ./internal/integration -results docs/RESULTS-faults.md   # and write the table of results
//
// A test that fails because of a known fault is listed in KNOWN-RED.txt at the
// root of the repository. It prints its entry and is skipped, unless -run
// selects the tests.
package integration
