package relay

// connectionMemory is what the messages of each client's connection take, in bytes, by the connection's number. Messages of an earlier
// process, and those that it forwards, belong to none. It is owned by the loop.
type connectionMemory map[uint64]int64

// held is what the messages of a submission's connection take.
func (c connectionMemory) held(in *submission) int64 {
	if in.client == nil {
		return 0
	}
	return c[in.client.number]
}

// hold counts a submission's message.
func (c connectionMemory) hold(in *submission) {
	if in.client == nil {
		return
	}
	in.msg.connection, in.msg.cost = in.client.number, messageCost(len(in.m.Body))
	c[in.client.number] += in.msg.cost
}

// release no longer counts a message.
func (c connectionMemory) release(m *message) {
	if m.connection == 0 {
		return
	}
	if c[m.connection] -= m.cost; c[m.connection] <= 0 {
		delete(c, m.connection)
	}
	m.connection = 0
}
