package origin

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed unless -rapid.seed sets one. Long runs set it and -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	if v := flag.Lookup("rapid.seed").Value; v.String() == "0" {
		_ = v.Set("1")
	}
	os.Exit(m.Run())
}
