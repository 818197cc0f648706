package wigeonscheduler

// State is everything the reducer knows. A node holds one with Shard for each shard it owns and one with Entry for
// the requests it accepted.
type State struct {
	Shard *Shard
	Entry *EntryState
}

// Reduce applies one event to the state and returns what has to be done.
func Reduce(st *State, ev Event) []Effect {
	if st.Entry != nil {
		return reduceEntry(st.Entry, ev)
	}
	return reduceShard(st.Shard, ev)
}
