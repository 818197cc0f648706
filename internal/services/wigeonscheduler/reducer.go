package wigeonscheduler

// State is the whole state of the reducer. An instance holds one State with Shard for each shard it owns and one with
// Entry for the requests it has accepted.
type State struct {
	Shard *Shard
	Entry *EntryState
}

// Reduce applies one event to the state and returns the effects to carry out.
func Reduce(st *State, ev Event) []Effect {
	if st.Entry != nil {
		return reduceEntry(st.Entry, ev)
	}
	return reduceShard(st.Shard, ev)
}
