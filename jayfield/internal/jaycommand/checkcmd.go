package jaycommand

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayadmin"
	"jayfield.example/jay/jaycheck"
	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaytraffic"
	jayplatform "jayfield.example/platform"
)

// check returns the command that checks a document without an instance.
func (c *config) check() *ffcli.Command {
	edge, against := "", ""
	more := func(flags *flag.FlagSet) {
		flags.StringVar(&edge, "edge", "", "check the traffic policy of edge instances in a `file` instead; - is standard input")
		flags.StringVar(&against, "against", "", "`file` with the traffic policy in force, to compare with; - is standard input")
	}
	return c.command("check", "[flags] FILE", "Check a configuration document or a traffic policy and change nothing", more,
		func(_ context.Context, args []string) error {
			if edge != "" {
				return c.checkEdge(edge, against, args)
			}
			if against != "" {
				return usagef("--against needs --edge")
			}
			file, err := one(args, "file")
			if err != nil {
				return err
			}
			text, err := c.read(file)
			if err != nil {
				return err
			}
			publish, err := jayconfig.ParsePublish(file, text)
			if err != nil {
				return err
			}
			checked := jayadmin.Checked{Changes: len(publish.Changes)}
			return c.print(checked, func(w io.Writer) { line(w, "valid\t%d objects", checked.Changes) })
		})
}

// checkEdge checks the traffic policy in a file and compares it with the one in force, if that is given.
func (c *config) checkEdge(file, against string, args []string) error {
	if err := none(args); err != nil {
		return err
	}
	if file == "-" && against == "-" {
		return usagef("only one of --edge and --against can be standard input")
	}
	policy, findings, err := c.readPolicy(file)
	if err != nil {
		return err
	}
	if policy != nil {
		findings = jaycheck.Check(policy)
	}
	if against != "" {
		inForce, undecodable, err := c.readPolicy(against)
		if err != nil {
			return err
		}
		findings = append(findings, undecodable...)
		if policy != nil && inForce != nil {
			findings = append(findings, jaycheck.Compare(inForce, policy)...)
		}
	}
	jaycheck.Sort(findings)
	if err := c.printFindings(findings); err != nil {
		return err
	}
	if jaycheck.Failed(findings) {
		return errors.New("errors were found; mend them before the policy is sent")
	}
	return nil
}

// readPolicy decodes the traffic policy in a file. If that fails, it returns a finding instead of a policy.
func (c *config) readPolicy(file string) (*jaytraffic.Policy, []jaycheck.Finding, error) {
	text, err := c.read(file)
	if err != nil {
		return nil, nil, err
	}
	policy, err := jayplatform.NewAdapter().ReadPolicy([]byte(text))
	if err != nil {
		return nil, []jaycheck.Finding{jaycheck.Undecodable("file "+file, err)}, nil
	}
	return policy, nil, nil
}

func (c *config) printFindings(findings []jaycheck.Finding) error {
	if findings == nil {
		findings = []jaycheck.Finding{} // Scripts expect a list, not null.
	}
	return c.print(findings, func(w io.Writer) {
		for _, f := range findings {
			line(w, "%s\t%s\t%s", f.Level, f.Subject, f.Text)
		}
		if len(findings) == 0 {
			line(w, "valid")
		}
	})
}
