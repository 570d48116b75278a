package yamlfile

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Size is a number of bytes. In YAML it is written with a unit, for example "1MiB".
type Size int64

// sizeUnit is a unit of Size.
type sizeUnit struct {
	name  string
	bytes int64
}

// sizeUnits are tried in this order. "B" must come last, since all other units end
// in it.
var sizeUnits = [...]sizeUnit{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30},
	{"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1},
}

// ErrSize is returned for a text that is not a valid size.
var ErrSize = errors.New("not a size")

// ParseSize parses a size such as "512KiB". Its errors wrap ErrSize.
func ParseSize(s string) (Size, error) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(s, unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.bytes {
			return 0, errors.Wrapf(ErrSize, "%q", s)
		}
		return Size(n * unit.bytes), nil
	}
	return 0, errors.Wrapf(ErrSize, "%q has no unit", s)
}
