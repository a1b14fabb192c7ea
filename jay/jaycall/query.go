package jaycall

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayentry"
)

// model is an element of modelList.
type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// modelList is the response of /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// entries serves the list of instances that the caller should use.
func (f *Frontend) entries(w http.ResponseWriter, r *request) error {
	region := r.Header.Get(HeaderRegion)
	if region == "" {
		region = f.Region
	}
	answer := jayentry.Answer{
		Entries:        f.Entries.Entries(region),
		Lifetime:       f.Entries.Lifetime().Milliseconds(),
		Ticket:         f.Home.Issue(r.caller.Name),
		TicketLifetime: f.Home.TicketLifetime().Milliseconds(),
	}
	return writeJSON(w, answer)
}

// models serves the list of models available to the caller.
func (f *Frontend) models(w http.ResponseWriter, r *request) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range r.config.Models(r.caller.Labels) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "jayfield"})
	}
	return writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, value any) error {
	w.Header().Set("Content-Type", "application/json")
	return errors.Wrap(json.NewEncoder(w).Encode(value), "write to caller")
}
