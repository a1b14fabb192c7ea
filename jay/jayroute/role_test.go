package jayroute

import (
	"testing"

	"jayfield.example/jay/jayconfig"
)

// Guards against a KV cache that is moved between two engines of equal role.
func TestPrefillsForLeansToPrefill(t *testing.T) {
	tests := map[string]struct {
		role, decoder jayconfig.Role
		want          bool
	}{
		"prefill for decode":  {jayconfig.RolePrefill, jayconfig.RoleDecode, true},
		"prefill for mixed":   {jayconfig.RolePrefill, jayconfig.RoleMixed, true},
		"prefill for prefill": {jayconfig.RolePrefill, jayconfig.RolePrefill, false},
		"mixed for decode":    {jayconfig.RoleMixed, jayconfig.RoleDecode, true},
		"mixed for mixed":     {jayconfig.RoleMixed, jayconfig.RoleMixed, false},
		"decode for decode":   {jayconfig.RoleDecode, jayconfig.RoleDecode, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			u, decoder := &Upstream{spec: &jayconfig.Upstream{Role: test.role}}, &Upstream{spec: &jayconfig.Upstream{Role: test.decoder}}
			if got := u.prefillsFor(decoder); got != test.want {
				t.Errorf("prefillsFor = %v, want %v", got, test.want)
			}
		})
	}
}
