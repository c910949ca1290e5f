package instances

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Version identifies the instances of the view, whatever its revision: views with the same instances have the
// same version in every process. It is never zero.
func (v *View) Version() uint64 { return max(v.digest, 1) }

// WithRevision returns a view with the same instances that is complete up to another revision.
func (v *View) WithRevision(revision uint64) *View {
	next := &View{Revision: revision, all: v.all, digest: v.digest}
	next.services.Store(v.services.Load())
	return next
}

// digest returns a hash of all fields.
func (i *Instance) digest() uint64 {
	flags := byte(0)
	if i.Leaving {
		flags = 1
	}
	b := make([]byte, 0, 128)
	for _, text := range []string{i.ID, i.Service, i.Address, i.Domain} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	for _, number := range []uint64{i.StartedMs, uint64(i.Slots), uint64(i.WarmUp), i.Revision} {
		b = binary.AppendUvarint(b, number)
	}
	return xxhash.Sum64(append(b, flags))
}

// digestOf returns the digest of a list of instances with different IDs, which does not depend on their order.
func digestOf(list []*Instance) uint64 {
	sum := uint64(0)
	for _, instance := range list {
		sum += instance.digest()
	}
	return sum
}
