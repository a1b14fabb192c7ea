package jayconfig

import (
	"net/url"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// Spec is the validated content of an object: *Upstream, *Service, *Route, *Caller or *Plan.
type Spec interface {
	fields() []jayini.Field
}

func newSpec(class Class) (Spec, error) {
	switch class {
	case ClassUpstream:
		return newUpstream(), nil
	case ClassService:
		return newService(), nil
	case ClassRoute:
		return newRoute(), nil
	case ClassCaller:
		return newCaller(), nil
	case ClassPlan:
		return newPlan(), nil
	default:
		return nil, errors.Errorf("%q is not one of upstream, service, route, caller, plan", string(class))
	}
}

func addressField(name string, target *string) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
			return errors.Errorf("%q is not an address such as http://127.0.0.1:9001", value)
		}
		*target = value
		return nil
	}}
}

func labelsField(name string, target *labels.Set) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		set, err := labels.ConvertSelectorToLabelsMap(value)
		if err != nil {
			return err
		}
		*target = set
		return nil
	}}
}

func selectorField(name string, target *labels.Selector) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		selector, err := labels.Parse(value)
		if err != nil {
			return err
		}
		*target = selector
		return nil
	}}
}
