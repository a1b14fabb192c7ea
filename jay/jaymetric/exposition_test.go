package jaymetric_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jayfield.example/jay/jaymetric"
)

func ExampleExposition() {
	e := jaymetric.NewExposition()
	e.Count("requests_total", jaymetric.Label{Name: "route", Value: "orders"}, jaymetric.Label{Name: "end", Value: "served"})
	w := httptest.NewRecorder()
	e.ServeHTTP(w, nil)
	fmt.Print(w.Body.String())
	// Output: jayfield_requests_total{route="orders",end="served"} 1
}

func TestExpositionHistogram(t *testing.T) {
	e := jaymetric.NewExposition()
	e.Observe("request_seconds", 150*time.Millisecond, jaymetric.Label{Name: "route", Value: `a"b`})
	e.Gauge("members", func() float64 { return 7 })
	w := httptest.NewRecorder()
	e.ServeHTTP(w, nil)
	for _, want := range []string{
		`jayfield_request_seconds_bucket{route="a\"b",le="0.1"} 0`,
		`jayfield_request_seconds_bucket{route="a\"b",le="0.2"} 1`,
		`jayfield_request_seconds_count{route="a\"b"} 1`,
		"jayfield_members 7",
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s in:\n%s", want, w.Body.String())
		}
	}
}
