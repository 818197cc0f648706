package wigeonsetting

// Node says who this instance is and where it runs.
type Node struct {
	// ID names the process; empty makes a fresh one at each start.
	ID     string `toml:"id"`
	Zone   string `toml:"zone" validate:"required"`
	Region string `toml:"region" validate:"required"`
}

func defaultNode() Node {
	return Node{}
}
