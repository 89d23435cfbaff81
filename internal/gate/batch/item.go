package batch

import "maps"

// findItem returns the item with an ID.
func findItem(items []Item, id string) (*Item, bool) {
	for i := range items {
		if items[i].ID == id {
			return &items[i], true
		}
	}
	return nil, false
}

// callHeader returns an item's header in the form that a call takes.
func callHeader(item *Item) map[string][]string {
	header := make(map[string][]string, len(item.Header))
	for name, value := range maps.All(item.Header) {
		header[name] = []string{value}
	}
	return header
}
