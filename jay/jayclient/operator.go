package jayclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"jayfield.example/jay/jayadmin"
	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayresponse"
	"jayfield.example/jay/jaystate"
)

// Operator is a client of an instance's operator listener.
type Operator struct {
	address, key, name string
	http               *http.Client
}

// NewOperator returns a client that publishes under an operator's name.
func NewOperator(address, key, name string) *Operator {
	transport := jayresponse.NewTransport(&http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}, nil)
	return &Operator{address: address, key: key, name: name, http: &http.Client{Transport: transport}}
}

// Check has a document parsed and changes nothing.
func (o *Operator) Check(ctx context.Context, file, text string) (jayadmin.Checked, error) {
	var checked jayadmin.Checked
	return checked, o.do(ctx, http.MethodPost, "/v1/check?file="+url.QueryEscape(file), text, &checked)
}

// Close releases idle connections.
func (o *Operator) Close() {
	o.http.CloseIdleConnections()
}

// Explain tells where work of a model and caller, or of a service, would go.
func (o *Operator) Explain(ctx context.Context, model, caller, service string) (jayadmin.Explanation, error) {
	query := url.Values{"model": {model}, "caller": {caller}, "service": {service}}
	var explanation jayadmin.Explanation
	return explanation, o.do(ctx, http.MethodGet, "/v1/explain?"+query.Encode(), "", &explanation)
}

// Get returns the objects whose names begin with a text.
func (o *Operator) Get(ctx context.Context, name string) ([]jayadmin.Object, error) {
	var objects []jayadmin.Object
	return objects, o.do(ctx, http.MethodGet, "/v1/config?name="+url.QueryEscape(name), "", &objects)
}

// History returns the kept verdicts, the newest first.
func (o *Operator) History(ctx context.Context) ([]jayconfig.Verdict, error) {
	var verdicts []jayconfig.Verdict
	return verdicts, o.do(ctx, http.MethodGet, "/v1/history", "", &verdicts)
}

// InForce tells on how many instances an offset is in force.
func (o *Operator) InForce(ctx context.Context, offset int64) (jayadmin.InForce, error) {
	var inForce jayadmin.InForce
	return inForce, o.do(ctx, http.MethodGet, "/v1/inforce?offset="+strconv.FormatInt(offset, 10), "", &inForce)
}

// Publish publishes a document. With rebase it replaces what is in force, whatever its version.
func (o *Operator) Publish(ctx context.Context, file, text string, rebase bool) (jayconfig.Report, error) {
	query := url.Values{"file": {file}}
	if rebase {
		query.Set("rebase", "yes")
	}
	var report jayconfig.Report
	return report, o.do(ctx, http.MethodPost, "/v1/publish?"+query.Encode(), text, &report)
}

// State returns the state of an instance.
func (o *Operator) State(ctx context.Context) (jaystate.Dump, error) {
	var dump jaystate.Dump
	return dump, o.do(ctx, http.MethodGet, "/v1/state", "", &dump)
}

func (o *Operator) do(ctx context.Context, method, path, body string, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, o.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return jayerror.Wrap("operator", KindRefused, err)
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+o.key)
	request.Header.Set(jayadmin.HeaderOperator, o.name)
	response, err := o.http.Do(request)
	if err != nil {
		return jayerror.Wrap("operator", KindUnreachable, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return jayerror.Wrap("operator", KindBroken, err)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return jayerror.Wrap("operator", KindBroken, err)
		}
		return nil
	}
	var problem struct {
		Kind  jayadmin.Kind `json:"kind"`
		Error string        `json:"error"`
	}
	if json.Unmarshal(data, &problem) != nil || problem.Error == "" {
		problem.Error = string(bytes.TrimSpace(data))
	}
	kind := KindRefused
	if problem.Kind == jayadmin.KindUnknown {
		kind = KindUnknown
	}
	return jayerror.New("operator", kind, problem.Error)
}
