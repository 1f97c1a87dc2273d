// Package route holds the configuration that maps the requests of a fleet, by
// host and path, to services: which service handles a request, how often it may
// run and how long it may take.
//
// A [Table] is one complete, immutable version of the configuration. It is
// replaced rather than modified, and only by a newer version.
//
// # Usage
//
//	tb, err := route.New(7, routes, services)
//	rt, ok := tb.Match("records.example", "/plants/17")
//	if ok {
//		svc := rt.PickService(rand.Float64())
//	}
//
// The nil Table has no configuration.
package route

import (
	"fmt"
	"slices"
	"strings"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// The kinds of routes, by how often a request may run.
const (
	Idempotent Kind = "Idempotent" // any number of times
	Once       Kind = "Once"       // at most once
	Stream     Kind = "Stream"     // at most once; the response is a stream of events
)

type (
	// Kind states how often a request of a route may run.
	Kind string

	// Share is a service's share of the requests of a route.
	Share struct {
		Service string
		Weight  int
	}

	// Route matches the requests to one host whose path has the prefix.
	Route struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		Kind        Kind
		Shares      []Share      // at least one; weights are positive
		Timeout     clock.Millis // longest time until the end of the response
		Objective   clock.Millis // target time until the response, or until a stream's first event
		MaxEventGap clock.Millis // longest time between two events of a stream
		MaxAttempts int          // maximum number of backend servers that may run one request
		Resumable   bool         // a stream may be resumed on another backend server
		Public      bool         // no customer's key is needed
		Priority    int          // the lowest value goes first
	}

	// Engines holds the properties that the model engines of a service share.
	Engines struct {
		MemoryTokens   int          // tokens that fit into the memory of one engine
		TokensPerEvent int          // tokens in one event of a stream
		MaxReservation clock.Millis // longest lifetime of a reservation
		PromptTTL      clock.Millis // lifetime of a computed prompt that no decode engine fetched
		RoleChangeTime clock.Millis // duration of a change of role
		Migration      bool         // a run can be moved to another engine
		Backup         bool         // a run can be copied while it is in progress
	}

	// Service is a set of backend servers that handle the same requests.
	Service struct {
		Name    string
		Engines *Engines // nil for a plain service
	}

	// Customer is a customer whose callers may send requests.
	Customer struct {
		Name      string
		KeyHashes []string // hex SHA-256 of its API keys
		Priority  int      // overrides that of the route; below zero, that of the route applies
		Limit     quota.Limit
		// CountRequests makes each request count as one towards the limit;
		// otherwise its tokens count, or DefaultTokens if it states none.
		CountRequests bool
		DefaultTokens int
	}

	// Limits bound what a caller may send and how long its connection may
	// stay idle. A zero field sets no bound.
	Limits struct {
		MaxHeadBytes int          // bytes of a request's head
		MaxBodyBytes int          // bytes of a request's body
		MaxHeadTime  clock.Millis // time in which a head must come
		MaxIdle      clock.Millis // time between two requests on one connection
	}

	// Table is one version of the configuration.
	Table struct {
		version  uint64
		limits   Limits
		hosts    map[string][]Route // longest prefix first
		services map[string]Service

		requiresKey    bool // callers need a customer's key
		hasLimits      bool // at least one customer has a limit
		customers      map[string]Customer
		customerByHash map[string]string // names of customers, by the hashes of their keys
	}

	// Error reports which part of a configuration can't be used.
	Error struct {
		Place  string // for example: Route "r-1"
		Detail string
	}
)

// Error returns a message with the place and the detail.
func (er *Error) Error() string { return fmt.Sprintf("configuration: %s: %s", er.Place, er.Detail) }

// New creates a table and checks its routes. Errors unwrap to *Error.
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

// Version returns the version of the table; zero for the nil Table.
func (tb *Table) Version() uint64 {
	if tb == nil {
		return 0
	}
	return tb.version
}

// WithLimits returns a copy of the table with other limits.
func (tb *Table) WithLimits(lim Limits) *Table {
	out := *tb
	out.limits = lim
	return &out
}

// Limits returns the limits for callers; those of the nil Table set no bounds.
func (tb *Table) Limits() Limits {
	if tb == nil {
		return Limits{}
	}
	return tb.limits
}

// Match returns the route of the host with the longest prefix of the path.
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

// Service returns the service with the name. A service that is not in the table is
// plain.
func (tb *Table) Service(name string) Service {
	if tb == nil {
		return Service{Name: name}
	}
	if svc, ok := tb.services[name]; ok {
		return svc
	}
	return Service{Name: name}
}

// ShortestEventGap returns the shortest MaxEventGap of the routes that may send their
// requests to a service, or zero if none of them has one.
func (tb *Table) ShortestEventGap(service string) clock.Millis {
	var shortest clock.Millis
	for _, routes := range tb.hosts {
		for _, rt := range routes {
			uses := slices.ContainsFunc(rt.Shares, func(sh Share) bool { return sh.Service == service })
			if uses && rt.MaxEventGap > 0 && (shortest == 0 || rt.MaxEventGap < shortest) {
				shortest = rt.MaxEventGap
			}
		}
	}
	return shortest
}

// EngineServices returns the services that have model engines.
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

// PickService selects the service of one request in proportion to the weights of
// the shares; point is a random number in [0, 1).
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

// CallerPatience returns how long the callers of a stream wait for an event before
// they disconnect: two seconds, four times the objective or eight times the longest
// event gap, whichever is greatest. This is the rule that the callers themselves apply.
func (rt Route) CallerPatience() clock.Millis {
	return max(2*clock.Second, 4*rt.Objective, 8*rt.MaxEventGap)
}

// IsRepeatable reports whether a request that may have run may be sent again.
func (rt Route) IsRepeatable() bool { return rt.Kind == Idempotent }
