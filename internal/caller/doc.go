// Package caller speaks to callers over HTTP: the usual chat-completions
// protocol with server-sent events, plain HTTP for the plain services, and
// the question which VMs to use.
//
// A [Server] authenticates the caller, checks and names the request, hands it
// to a [Runner] and delivers the answer. It decides nothing about where or
// when a request runs.
//
// # Calls
//
//	GET  /v1/addresses           which VMs to use, and for how long
//	POST /v1/chat/completions    a request to a model service
//	GET  /v1/answers/{key}       the answer of a key, without the request
//	any  /services/{name}/{path} a call of a plain service
//
// Every call carries the customer's API key as "Authorization: Bearer". These
// headers are the caller's to set:
//
//	Idempotency-Key     names the request; the response names it in any case
//	Alderdyke-Class     class by name; otherwise the first class of the model
//	Alderdyke-Deadline  span such as "2s"; can only shorten the class's
//	Last-Event-ID       go on after this event of the answer of the key
//
// # Ends
//
// A streamed answer ends with a finish chunk followed by "data: [DONE]", or
// with an event named "refusal". Whatever ends without either, such as a
// broken connection, is no end: the caller asks again with the same key and
// the last event ID that it has. A refusal that comes before anything was
// streamed is an HTTP status of its own, with the header Alderdyke-Refusal.
//
// # Usage
//
//	srv := &caller.Server{Listen: "10.0.0.7:8080", Runner: rn, Board: bd}
//	go srv.Run(ctx)
//	<-srv.Ready()
package caller
