package cell

import (
	"encoding/json"
	"fmt"
)

// Roster lists the entries of a cell. Entries of other cells use it to forward
// requests to them and to choose witnesses among them.
type Roster struct {
	Cell    string   `json:"cell"`
	Domain  string   `json:"domain"`
	Version uint64   `json:"version"`
	WriteID string   `json:"write_id"`
	Members []Member `json:"members"`
}

// DecodeRoster parses and validates a roster document.
func DecodeRoster(data []byte) (*Roster, error) {
	var r Roster
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode roster document: %w", err)
	}
	if r.Cell == "" || r.Version == 0 {
		return nil, fmt.Errorf("roster %q: invalid cell name or version %d", r.Cell, r.Version)
	}
	return &r, nil
}
