// Package deps holds the rules on what the packages of this module may
// import. It has tests only: they read the imports of every file, so that a
// package which starts a process, proxies, or brings a library of the tests
// into the program is found without being run.
//
// # Usage
//
//	go test ./internal/deps
package deps
