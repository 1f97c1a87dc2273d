// Package client calls alderdyke on behalf of one customer.
//
// A [Client] fetches the addresses of VMs from the fleet, caches them for as long
// as they are valid, and sends each request to one of them. When a connection
// breaks, the client continues at another VM with the same request key and the ID
// of the last event received, so that nothing runs twice and no text is lost or
// duplicated.
//
// Every call has exactly one of two outcomes: the complete answer, or an error that
// wraps a refusal.Refusal. The refusal's Ran is NotRun only if no VM can have run
// the request for this call: once a connection broke after the request may have
// been sent on it, a later NotRun of another VM is returned as MayHaveRun.
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
