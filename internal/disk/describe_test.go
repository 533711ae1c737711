// A replica's description of itself.
package disk

import (
	"context"
	"testing"

	"fordseam/internal/register"

	"github.com/matryer/is"
)

// TestAKnownSetIsLeftOut: an owner asks every replica, and the set names all of
// them, so only one that the owner does not know is told. Whatever the stamp, the
// set of another cluster is.
func TestAKnownSetIsLeftOut(t *testing.T) {
	is := is.New(t)
	b := openBench(is, newMemory())
	defer b.finish()
	for _, row := range []struct {
		known *register.DescribeRequest
		told  bool
	}{
		{&register.DescribeRequest{}, true},
		{&register.DescribeRequest{KnownCluster: "c", KnownStamp: 2}, true},
		{&register.DescribeRequest{KnownCluster: "another", KnownStamp: 1}, true},
		{&register.DescribeRequest{KnownCluster: "c", KnownStamp: 1}, false},
	} {
		state, err := b.service.Describe(context.Background(), row.known)
		is.NoErr(err)
		is.Equal(state.Id, b.id)
		is.Equal(state.Set != nil, row.told)
	}
}
