package ownership

import (
	"testing"

	"github.com/medlarlatch/medlarlatch/internal/seed"
)

func TestMain(m *testing.M) { seed.Run(m) }
