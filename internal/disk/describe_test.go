package disk

import (
	"context"
	"testing"

	"fordseam/internal/register"

	"github.com/matryer/is"
)

// A leader sends Describe to every replica, and the disk set lists all of them, so
// the reply contains the set only if the leader does not know it. A set of another
// cluster may have the same stamp and is not the known one.
func TestDescribeOmitsKnownSet(t *testing.T) {
	is := is.New(t)
	d := newTestDisk(is, newMemFiles())
	defer d.close()
	for _, row := range []struct {
		request *register.DescribeRequest
		wantSet bool
	}{
		{&register.DescribeRequest{}, true},
		{&register.DescribeRequest{KnownCluster: "c", KnownStamp: 2}, true},
		{&register.DescribeRequest{KnownCluster: "another", KnownStamp: 1}, true},
		{&register.DescribeRequest{KnownCluster: "c", KnownStamp: 1}, false},
	} {
		state, err := d.service.Describe(context.Background(), row.request)
		is.NoErr(err)
		is.Equal(state.Id, d.id)
		is.Equal(state.Set != nil, row.wantSet)
	}
}
