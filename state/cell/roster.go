package cell

import (
	"encoding/json"
	"fmt"
)

// Roster lists the entries of a cell for the entries of other cells, which
// forward requests to them and may ask them to be witnesses.
type Roster struct {
	Cell    string   `json:"cell"`
	Domain  string   `json:"domain"`
	Version uint64   `json:"version"`
	WriteID string   `json:"write_id"`
	Members []Member `json:"members"`
}

// DecodeRoster parses a roster document.
func DecodeRoster(data []byte) (*Roster, error) {
	var r Roster
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("roster document: %w", err)
	}
	if r.Cell == "" || r.Version == 0 {
		return nil, fmt.Errorf("roster %q: version %d", r.Cell, r.Version)
	}
	return &r, nil
}
