package entry

// abandon closes a reservation whose request continues on the engines without
// this VM. Without a final frame the scheduler keeps the slot of a granted
// request as that of an orphan, and records no failure of an engine.
func (rs *reservation) abandon() {
	rs.mu.Lock()
	cn, closed := rs.cn, rs.closed
	rs.closed = true
	rs.mu.Unlock()
	if closed {
		return
	}
	if cn != nil {
		cn.Close()
	}
	rs.stop()
}
