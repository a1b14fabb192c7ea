package jaystandin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"jayfield.example/jay/jaystandin"
)

// Tests wait for the order that they sent; a query of a load poller must not end that wait.
func TestBegunCountsOrders(t *testing.T) {
	tests := map[string]struct {
		method string
		want   int
	}{
		"question": {http.MethodGet, 0},
		"order":    {http.MethodPost, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			service := jaystandin.NewService()
			request := httptest.NewRequest(test.method, "/place", strings.NewReader(`{"order":"o-1"}`))
			service.ServeHTTP(httptest.NewRecorder(), request)
			if got := service.Begun(); got != test.want {
				t.Errorf("Begun() = %d, want %d", got, test.want)
			}
		})
	}
}
