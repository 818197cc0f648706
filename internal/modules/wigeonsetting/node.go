package wigeonsetting

// Node holds the identity and location of the instance.
type Node struct {
	// ID identifies the process. If it is empty, a new one is generated at each start.
	ID     string `toml:"id"`
	Zone   string `toml:"zone" validate:"required"`
	Region string `toml:"region" validate:"required"`
}

func defaultNode() Node {
	return Node{}
}
