// Package unread closes the connection of an HTTP response whose body is closed before its
// end.
//
// From Go 1.27 on net/http reads up to 256 KB more of such a body, for up to 50 ms, to use the
// connection again. A server that sends without end is then read beyond the limits of the
// calls, and one whose answer nobody wants any more goes on sending it. A [Transport] ends
// the call instead, as net/http did before.
//
// # Usage
//
//	hc := &http.Client{Transport: unread.Transport{Base: &http.Transport{}}}
package unread
