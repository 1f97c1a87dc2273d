package entry

// abandon ends a reservation whose request goes on at the engines without this
// VM. Without a final frame the accountant keeps the place of a grant as an
// orphan's, and blames no engine.
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
