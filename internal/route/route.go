// Package route holds the configuration of a fleet whose callers are told
// apart by host and path: which service serves a request, how often it may
// run and how long it may take.
//
// A [Table] is one version of it, whole and immutable. It is replaced, never
// changed, and a newer one replaces only an older one.
//
// # Usage
//
//	tb, err := route.New(7, routes, services)
//	rt, ok := tb.Match("records.example", "/plants/17")
//	if ok {
//		svc := rt.PickService(rand.Float64())
//	}
//
// The nil Table knows no configuration.
package route

import (
	"fmt"
	"slices"
	"strings"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// How often a request of a route may run.
const (
	Idempotent Kind = "Idempotent" // any number of times
	Once       Kind = "Once"       // once at most
	Stream     Kind = "Stream"     // once at most; the answer is a stream of events
)

type (
	// Kind of a route.
	Kind string

	// Share is the part of a route's requests that a service gets.
	Share struct {
		Service string
		Weight  int
	}

	// Route is one host and path prefix.
	Route struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		Kind        Kind
		Shares      []Share      // at least one; weights are positive
		Timeout     clock.Millis // longest time to the end of the answer
		Objective   clock.Millis // time to the answer, or to a stream's first event
		MaxEventGap clock.Millis // longest time between two events of a stream
		MaxAttempts int          // most backend servers that may run one request
		Resumable   bool         // a stream may go on at another backend server
		Public      bool         // it needs no customer's key
		Priority    int          // the lowest goes first
	}

	// Engines is what the model engines of a service have in common.
	Engines struct {
		MemoryTokens   int          // tokens that one engine holds
		TokensPerEvent int          // tokens that one event of a stream holds
		MaxReservation clock.Millis // longest life of a reservation
		PromptTTL      clock.Millis // life of a computed prompt that nobody fetched
		RoleChangeTime clock.Millis // time that a change of role takes
		Migration      bool         // a run can be moved to another engine
		Backup         bool         // a run can be copied while it goes on
	}

	// Service is a set of backend servers that serve the same.
	Service struct {
		Name    string
		Engines *Engines // nil: a plain service
	}

	// Customer is who may call.
	Customer struct {
		Name      string
		KeyHashes []string // hex SHA-256 of its API keys
		Priority  int      // goes before that of a route; below zero: it has none
		Limit     quota.Limit
		// CountRequests tells that each request counts as one towards the limit;
		// else its tokens count, and one that names none counts as DefaultTokens.
		CountRequests bool
		DefaultTokens int
	}

	// Limits bound what a caller may send and how long its connection may
	// rest. The zero value of a field sets no bound.
	Limits struct {
		MaxBodyBytes int          // bytes of a request's body
		MaxIdle      clock.Millis // of a connection between two requests
	}

	// Table is one version of the configuration.
	Table struct {
		version  uint64
		limits   Limits
		hosts    map[string][]Route // longest prefix first
		services map[string]Service

		requiresKey    bool // callers need a customer's key
		hasLimits      bool // some customer has a limit
		customers      map[string]Customer
		customerByHash map[string]string // names of customers, by the hashes of their keys
	}

	// Error tells what of a configuration can't be used.
	Error struct {
		Place  string // such as Route "r-1"
		Detail string
	}
)

// Error names the place.
func (er *Error) Error() string { return fmt.Sprintf("configuration: %s: %s", er.Place, er.Detail) }

// New makes a table. Errors unwrap to *Error.
func New(version uint64, routes []Route, services []Service) (*Table, error) {
	tb := &Table{version: version, hosts: make(map[string][]Route), services: make(map[string]Service)}
	for _, svc := range services {
		tb.services[svc.Name] = svc
	}
	for _, rt := range routes {
		if err := rt.check(); err != nil {
			return nil, fmt.Errorf("read version %d: %w", version, err)
		}
		host := strings.ToLower(rt.Host)
		tb.hosts[host] = append(tb.hosts[host], rt)
	}
	for _, list := range tb.hosts {
		slices.SortStableFunc(list, func(ra, rb Route) int { return len(rb.Prefix) - len(ra.Prefix) })
	}
	return tb, nil
}

func (rt Route) check() error {
	bad := func(detail string) error { return &Error{Place: fmt.Sprintf("Route %q", rt.Name), Detail: detail} }
	switch {
	case !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/"):
		return bad("its prefix must begin and end with a slash")
	case len(rt.Shares) == 0:
		return bad("it names no service")
	case rt.Kind != Idempotent && rt.Kind != Once && rt.Kind != Stream:
		return bad(fmt.Sprintf("kind %q is unknown", rt.Kind))
	}
	for _, sh := range rt.Shares {
		if sh.Weight <= 0 {
			return bad(fmt.Sprintf("the weight of service %q must be positive", sh.Service))
		}
	}
	return nil
}

// Version of the table; zero of the nil Table.
func (tb *Table) Version() uint64 {
	if tb == nil {
		return 0
	}
	return tb.version
}

// WithLimits is the table with other limits.
func (tb *Table) WithLimits(lim Limits) *Table {
	out := *tb
	out.limits = lim
	return &out
}

// Limits of callers; those of the nil Table bound nothing.
func (tb *Table) Limits() Limits {
	if tb == nil {
		return Limits{}
	}
	return tb.limits
}

// Match finds the route with the longest prefix of the path.
func (tb *Table) Match(host, path string) (Route, bool) {
	if tb == nil {
		return Route{}, false
	}
	for _, rt := range tb.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt, true
		}
	}
	return Route{}, false
}

// Service finds a service by its name. One that no table describes is plain.
func (tb *Table) Service(name string) Service {
	if tb == nil {
		return Service{Name: name}
	}
	if svc, ok := tb.services[name]; ok {
		return svc
	}
	return Service{Name: name}
}

// EngineServices lists the services that have model engines.
func (tb *Table) EngineServices() []Service {
	var out []Service
	if tb == nil {
		return out
	}
	for _, svc := range tb.services {
		if svc.Engines != nil {
			out = append(out, svc)
		}
	}
	return out
}

// PickService draws the service of one request; the point lies in [0, 1).
func (rt Route) PickService(point float64) string {
	total := 0
	for _, sh := range rt.Shares {
		total += sh.Weight
	}
	left := point * float64(total)
	for _, sh := range rt.Shares {
		if left -= float64(sh.Weight); left < 0 {
			return sh.Service
		}
	}
	return rt.Shares[len(rt.Shares)-1].Service
}

// CallerPatience is how long callers of a stream wait for an event before they
// leave: two seconds, four times the objective or eight times the longest
// pause, whichever is most. It is the users' callers' own rule.
func (rt Route) CallerPatience() clock.Millis {
	return max(2*clock.Second, 4*rt.Objective, 8*rt.MaxEventGap)
}

// IsRepeatable tells whether a request that may have run may be sent again.
func (rt Route) IsRepeatable() bool { return rt.Kind == Idempotent }
