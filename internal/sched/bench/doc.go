// Package bench runs the scheduling decisions of package sched against simulated
// engines under virtual time and measures what callers would observe.
//
// Everything is seeded and single-threaded: the same [Setup] gives the same [Result] at
// every run. Machines of another architecture may round differently. The bench compares
// decisions and simplifies the rest: engines are queues with rates, links are shared
// rates, and the network is a single delay between failure domains.
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
