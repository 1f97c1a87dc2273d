package entry

import (
	"fmt"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
)

// maxCellServers is the maximum number of model engines in one cell. One VM can
// schedule that many with a few messages per request, and the cost of a cell
// does not grow with the fleet.
const maxCellServers = 16

type (
	// cell is a group of model engines of one service that one VM schedules at
	// a time.
	cell struct {
		Name    string
		Service string
		Servers []board.BackendServer
	}

	// cellList holds the cells of one list of backend servers.
	cellList struct {
		servers   []board.BackendServer // source of the cells
		cells     []cell
		byService map[string][]string // cell names
	}
)

// builtFrom reports whether the cells were built from this same slice.
func (cl *cellList) builtFrom(servers []board.BackendServer) bool {
	if cl == nil || len(cl.servers) != len(servers) {
		return false
	}
	return len(servers) == 0 || &cl.servers[0] == &servers[0]
}

// cellList returns the cells of the backend servers on the board. They are built
// once per list and not once per request. That is safe because the lists of
// snapshots are never modified.
func (vm *VM) cellList() *cellList {
	bk := vm.Board.Backends()
	if cl := vm.cells.Load(); cl.builtFrom(bk.Servers) {
		return cl
	}
	cl := &cellList{servers: bk.Servers, cells: divideIntoCells(bk), byService: make(map[string][]string)}
	for _, ce := range cl.cells {
		cl.byService[ce.Service] = append(cl.byService[ce.Service], ce.Name)
	}
	vm.cells.Store(cl)
	return cl
}

// divideIntoCells divides the model engines of each service into cells. Engines of
// each role are distributed round robin in the order of their IDs, so that every
// cell has both roles and VMs with the same list agree without a message.
func divideIntoCells(bk *board.Backends) []cell {
	byService := make(map[string][]board.BackendServer)
	var services []string
	for _, srv := range bk.Servers {
		if srv.Role == board.Plain {
			continue
		}
		if _, ok := byService[srv.Service]; !ok {
			services = append(services, srv.Service)
		}
		byService[srv.Service] = append(byService[srv.Service], srv)
	}
	slices.Sort(services)
	var out []cell
	for _, service := range services {
		out = append(out, divideService(service, byService[service])...)
	}
	return out
}

func divideService(service string, servers []board.BackendServer) []cell {
	count := (len(servers) + maxCellServers - 1) / maxCellServers
	cells := make([]cell, count)
	for ix := range cells {
		cells[ix] = cell{Name: fmt.Sprintf("%s/%d", service, ix), Service: service}
	}
	next := make(map[board.Role]int)
	for _, srv := range servers {
		ix := next[srv.Role] % count
		next[srv.Role]++
		cells[ix].Servers = append(cells[ix].Servers, srv)
	}
	return cells
}

// cellForRequest selects the cell of a model service for a request. Requests with
// the same prefix go to the same cell, which may hold the KV cache of the prefix;
// all others are distributed evenly.
func (vm *VM) cellForRequest(service string, prefix uint64) string {
	names := vm.cellList().byService[service]
	if len(names) == 0 {
		return service + "/0"
	}
	if prefix == 0 {
		prefix = vm.nextCell.Add(1)
	}
	return names[prefix%uint64(len(names))]
}

// cellOfServer returns the name of the cell of a model engine.
func (vm *VM) cellOfServer(server string) (string, bool) {
	for _, ce := range vm.cellList().cells {
		for _, srv := range ce.Servers {
			if srv.ID == server {
				return ce.Name, true
			}
		}
	}
	return "", false
}

// schedulerOf returns the VM that schedules a cell according to this VM's view of
// the fleet. A suspected VM is skipped at once: two VMs that schedule the same cell
// for a while cost some refusals by full engines, while a cell without a scheduler
// costs every request its placement.
func schedulerOf(cellName string, fl *board.Fleet) (board.VM, bool) {
	return rendezvous.First("cell/"+cellName, fl.VMs, func(vm *board.VM) bool {
		return vm.Health == board.Alive && !vm.Leaving
	})
}
