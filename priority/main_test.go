package priority

import (
	"os"
	"testing"

	"github.com/slatebridge/slatebridge/internal/testmain"
)

func TestMain(m *testing.M) {
	os.Exit(testmain.Run(m))
}
