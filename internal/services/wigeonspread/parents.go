package wigeonspread

import "wigeonshift"

// Parents returns the parent of each instance by id, as the push tree over a live list has it; the heads of regions
// have none.
func Parents(live []wigeonshift.Instance, s Settings) map[string]string {
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
