package jayadmin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayroute"
)

// Object is an object of the configuration as operators read it.
type Object struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	// Text is the object's section of a document.
	Text string `json:"text"`
}

// InForce tells on how many instances an offset is in force.
type InForce struct {
	Offset    int64 `json:"offset"`
	InForce   int   `json:"inForce"`
	Instances int   `json:"instances"`
}

// Explanation tells where work would go now and why.
type Explanation struct {
	Route    string             `json:"route"`
	Priority jayconfig.Priority `json:"priority,omitempty"`
	Reasons  []jayroute.Reason  `json:"upstreams"`
}

// config answers with the objects whose names begin with a text.
func (s *Server) config(r *http.Request) (any, error) {
	view, err := s.view()
	if err != nil {
		return nil, err
	}
	objects := []Object{}
	for _, o := range view.State().Objects() {
		if strings.HasPrefix(o.Name.String(), r.URL.Query().Get("name")) {
			objects = append(objects, Object{Name: o.Name.String(), Version: o.Version, Text: o.Text()})
		}
	}
	return objects, nil
}

// explain answers where work of a model and caller, or of a service, would go.
func (s *Server) explain(r *http.Request) (any, error) {
	view, err := s.view()
	if err != nil {
		return nil, err
	}
	query := r.URL.Query()
	request, explanation, err := explained(view, query.Get("model"), query.Get("caller"), query.Get("service"))
	if err != nil {
		return nil, err
	}
	request.Work.Prompt, _ = strconv.Atoi(query.Get("prompt"))
	request.Work.Output, _ = strconv.Atoi(query.Get("output"))
	explanation.Reasons, err = s.Explainer.Explain(r.Context(), request)
	return explanation, err
}

func explained(view *jayconfig.View, model, caller, service string) (jaydispatch.Request, Explanation, error) {
	if service != "" {
		name := jayconfig.Name{Class: jayconfig.ClassService, Name: service}.String()
		return jaydispatch.Request{Pool: name}, Explanation{Route: name}, nil
	}
	object, ok := view.State().Object(jayconfig.Name{Class: jayconfig.ClassCaller, Name: caller})
	spec, isCaller := object.Spec().(*jayconfig.Caller)
	if !ok || !isCaller {
		return jaydispatch.Request{}, Explanation{}, jayerror.Newf("explain", KindMissing, "caller %q is not configured; see jayfield get caller", caller)
	}
	route, ok := view.Route(model, spec.Labels)
	if !ok {
		return jaydispatch.Request{}, Explanation{}, jayerror.Newf("explain", KindMissing, "no route serves model %q to caller %q; see jayfield get route", model, caller)
	}
	request := jaydispatch.Request{Pool: route.Name, Caller: caller, Priority: route.Priority}
	return request, Explanation{Route: route.Name, Priority: route.Priority}, nil
}

// history answers with the kept verdicts, the newest first.
func (s *Server) history(*http.Request) (any, error) {
	view, err := s.view()
	if err != nil {
		return nil, err
	}
	verdicts := slices.Clone(view.State().Verdicts())
	slices.Reverse(verdicts)
	return verdicts, nil
}

// inForce answers on how many instances an offset is in force.
func (s *Server) inForce(r *http.Request) (any, error) {
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		return nil, jayerror.New("inforce", KindInvalid, "offset is not a number")
	}
	inForce, live := s.Members.InForce(offset)
	return InForce{Offset: offset, InForce: inForce, Instances: live}, nil
}

func (s *Server) view() (*jayconfig.View, error) {
	view := s.Configs.View()
	if view == nil {
		return nil, jayerror.New("read", KindLog, "instance knows no configuration yet; try again")
	}
	return view, nil
}
