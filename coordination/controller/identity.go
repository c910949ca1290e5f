package controller

import (
	"fmt"
	"strings"
	"time"
)

// incarnationMark separates the configured name of an entry from its
// incarnation in a member ID.
const incarnationSeparator = "#"

// MemberID returns the ID of an entry process: the configured name, which
// belongs to one VM for good, and the time of its start. Incarnations of one
// name are ordered by their IDs.
func MemberID(name string, started time.Time) string {
	return fmt.Sprintf("%s%s%016x", name, incarnationSeparator, started.UnixNano())
}

// Supersedes reports whether the member with ID a is a later incarnation of the
// one with ID b. Two incarnations cannot run at once: they listen on the same
// addresses of the same VM. So b has ended.
func Supersedes(a, b string) bool {
	nameA, startA, okA := strings.Cut(a, incarnationSeparator)
	nameB, startB, okB := strings.Cut(b, incarnationSeparator)
	return okA && okB && nameA == nameB && startA > startB
}
