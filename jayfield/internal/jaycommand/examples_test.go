package jaycommand_test

import (
	"bytes"
	"strings"
	"testing"

	"jayfield.example/jayfield/internal/jaycommand"
)

// The example configuration is valid.
func TestExampleSite(t *testing.T) {
	var stdout, stderr bytes.Buffer
	status := jaycommand.Main([]string{"check", "../../../examples/site.ini"}, strings.NewReader(""), &stdout, &stderr)
	if status != 0 {
		t.Errorf("status = %d: %s", status, stderr.String())
	}
}
