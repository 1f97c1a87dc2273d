// Package bench runs the scheduling decisions of package sched against small
// stand-ins under virtual time and measures what callers would see.
//
// Everything is seeded and single-threaded: the same [Setup] gives the same
// [Result] at every run; machines of another architecture may round otherwise. It is a bench of decisions:
// engines are queues with rates, links are shared rates, and the network is
// one delay between failure domains.
//
// # Usage
//
//	res := bench.Run(bench.Setup{
//		Deployment: bench.Kedelsyn(),
//		Load:       1.0,
//		Policy:     bench.Cell,
//		Seed:       1,
//	})
//	fmt.Println(res.Goodput(bench.QuickWork), res.WastedShare())
package bench
