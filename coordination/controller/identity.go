package controller

import (
	"fmt"
	"strings"
	"time"
)

// incarnationSeparator separates the configured name of an entry from the start
// time of its process in a member ID.
const incarnationSeparator = "#"

// MemberID returns the ID of an entry process. It consists of the configured name,
// which is permanently bound to one VM, and the start time of the process, so that
// the IDs of one name sort by start time.
func MemberID(name string, started time.Time) string {
	return fmt.Sprintf("%s%s%016x", name, incarnationSeparator, started.UnixNano())
}

// Supersedes reports whether a is the ID of a later incarnation of member b. If so,
// b has ended: two incarnations cannot run at once, because they listen on the same
// addresses of the same VM.
func Supersedes(a, b string) bool {
	nameA, startA, okA := strings.Cut(a, incarnationSeparator)
	nameB, startB, okB := strings.Cut(b, incarnationSeparator)
	return okA && okB && nameA == nameB && startA > startB
}
