// Package deps enforces the rules on what the packages of this module may
// import. It has tests only: they read the imports of every file, so that a
// package that starts processes, proxies traffic or links a test library into
// the program is found without running it.
//
// # Usage
//
//	go test ./internal/deps
package deps
