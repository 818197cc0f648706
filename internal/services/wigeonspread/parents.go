package wigeonspread

import "wigeonshift"

// TreeParents returns the ID of each instance's parent in the push tree of the live instances, by instance ID. The root
// of a region has no parent.
func TreeParents(live []wigeonshift.Instance, s Settings) map[string]string {
	if len(live) == 0 {
		return nil
	}
	t := newTree(live[0], live, s)
	parents := make(map[string]string, len(live))
	for _, i := range live {
		for _, child := range t.children(i) {
			parents[child.ID] = i.ID
		}
	}
	return parents
}
