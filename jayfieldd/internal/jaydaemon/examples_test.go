package jaydaemon_test

import (
	"bytes"
	"testing"

	"jayfield.example/jayfieldd/internal/jaydaemon"
)

// The example settings run as they are.
func TestExamples(t *testing.T) {
	for _, name := range []string{"qalam", "atlas"} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			args := []string{"--config", "../../../examples/" + name + ".ini", "--embedded", "--check"}
			if status := jaydaemon.Main(args, &stdout, &stderr); status != 0 {
				t.Errorf("status = %d: %s", status, stderr.String())
			}
		})
	}
}
