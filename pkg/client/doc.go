// Package client calls alderdyke on behalf of one customer.
//
// A [Client] asks the fleet which VMs to use, keeps that answer for as long
// as it holds, and sends each request to one of them. When a connection
// breaks it goes on at another VM with the same request key and the last
// event that it has, so that nothing runs twice and no text is lost or
// doubled.
//
// Every call ends in exactly one of two ways: with the whole answer, or with
// an error that wraps a refusal.Refusal. The refusal's Ran is NotRun only if
// no VM can have run the request for this call: once a connection broke with
// the request on it, a later "not run" of another VM is passed on as
// MayHaveRun.
//
// # Usage
//
//	cl := &client.Client{Bootstrap: []string{"10.0.0.7:8080"}, APIKey: key}
//	ans, err := cl.Chat(ctx, client.ChatRequest{
//		Model:    "rapportmodel",
//		Messages: []client.Message{{Role: "user", Content: notes}},
//	})
//	var rf refusal.Refusal
//	if errors.As(err, &rf) { ... }
package client
