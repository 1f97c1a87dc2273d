// Package caller serves callers over HTTP: the chat-completions protocol with
// server-sent events, plain HTTP for the plain services, and the list of VMs that
// callers should use.
//
// A [Server] authenticates the caller, validates and identifies the request, passes
// it to a [Runner] and delivers the answer. It does not decide where or when a
// request runs.
//
// # Calls
//
//	GET  /v1/addresses           which VMs to use, and for how long
//	POST /v1/chat/completions    a request to a model service
//	GET  /v1/answers/{key}       the answer of a key, without the request
//	any  /services/{name}/{path} a call to a plain service
//
// Every call carries the customer's API key as "Authorization: Bearer". Callers may
// set these headers:
//
//	Idempotency-Key     identifies the request; every response returns it
//	Alderdyke-Class     class by name; default: the first class of the model
//	Alderdyke-Deadline  duration such as "2s"; can only shorten the class's
//	Last-Event-ID       continue after this event of the answer of the key
//
// # End of an answer
//
// A streamed answer ends with a finish chunk followed by "data: [DONE]", or with an
// event named "refusal". Anything that ends without either, such as a broken
// connection, is incomplete: the caller sends the request again with the same key and
// the ID of the last event that it received. A refusal before the first streamed byte
// has an HTTP status of its own and the header Alderdyke-Refusal.
//
// # Usage
//
//	srv := &caller.Server{Listen: "10.0.0.7:8080", Runner: rn, Board: bd}
//	go srv.Run(ctx)
//	<-srv.Ready()
package caller
