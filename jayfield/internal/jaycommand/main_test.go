package jaycommand_test

import (
	"context"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfield.example/jay/jaysite"
	"jayfield.example/jayfield/internal/jaycommand"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jayfield": func() { os.Exit(jaycommand.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(env *testscript.Env) error {
		site, err := jaysite.Start(jaysite.DefaultPlan(), slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		env.Defer(site.Stop)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if _, err := site.Configure(ctx); err != nil {
			return err
		}
		env.Setenv("JAYFIELD_OPERATOR", "http://"+site.Instances[0].Addresses().Operator)
		env.Setenv("JAYFIELD_CALLER", "http://"+site.Instances[0].Addresses().Caller)
		env.Setenv("OPERATOR_KEY", jaysite.OperatorKey)
		return nil
	}})
}
