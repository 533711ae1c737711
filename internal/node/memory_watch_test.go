package node

import (
	"testing"

	"github.com/matryer/is"
)

func TestMemoryLevelChangesOnce(t *testing.T) {
	is := is.New(t)
	level := memoryLevel{limit: 1000}
	changes := []bool{}
	for _, resident := range []int64{100, 690, 700, 900, 650, 700, 599, 650} {
		changes = append(changes, level.update(resident))
	}
	is.Equal(changes, []bool{false, false, true, false, false, false, true, false})
}
