package catalog

import "fmt"

// ClosedItem is a part of a configuration that cannot be used, and why.
type ClosedItem struct {
	Item   string `json:"item"`
	Reason string `json:"reason"`
}

// String returns the item with the reason.
func (i ClosedItem) String() string { return i.Item + ": " + i.Reason }

// maxListedItems bounds the items that are listed of one version, and maxItemText their names.
const (
	maxListedItems = 64
	maxItemText    = 128
)

// ClosedItems holds the closed items of a configuration. The zero value has none.
type ClosedItems struct {
	// List holds the first ones, and Count is the number of all.
	List  []ClosedItem
	Count int
}

// Add adds an item.
func (c *ClosedItems) Add(item, format string, args ...any) {
	c.Count++
	if len(c.List) < maxListedItems {
		c.List = append(c.List, ClosedItem{Item: clipped(item), Reason: clipped(fmt.Sprintf(format, args...))})
	}
}

// clipped returns the beginning of a text of the configuration, for lists of closed items.
func clipped(text string) string {
	if runes := []rune(text[:min(len(text), 4*maxItemText)]); len(runes) > maxItemText {
		return string(runes[:maxItemText]) + "..."
	}
	return text
}
