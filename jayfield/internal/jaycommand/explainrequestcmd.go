package jaycommand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// maxLogLine bounds one line of a log in bytes.
const maxLogLine = 1 << 20

// explainRequest returns the command that tells a request's history from logs.
func (c *config) explainRequest() *ffcli.Command {
	return c.command("explain-request", "ID [file...]", "Tell the history of a request from logs, with the beliefs in force", nil,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("name a request's id, and log files unless the log comes on standard input")
			}
			if len(args) == 1 {
				return explainLog(c.stdout, args[0], c.stdin)
			}
			for _, name := range args[1:] {
				if err := explainFile(c.stdout, args[0], name); err != nil {
					return err
				}
			}
			return nil
		})
}

func explainFile(output io.Writer, id, name string) error {
	file, err := os.Open(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close() //nolint:errcheck // It was only read.
	return explainLog(output, id, file)
}

// explainLog prints the lines of a request. Before them come the newest
// lines on the policy, the store and the members, and on each upstream that the
// request's lines name.
func explainLog(output io.Writer, id string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	beliefs := make(map[string]string)
	told := make(map[string]string)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.Contains(line, "request="+id+" ") {
			if subject := subjectOf(line); subject != "" {
				beliefs[subject] = line
			}
			continue
		}
		for _, subject := range slices.Sorted(maps.Keys(beliefs)) {
			belief := beliefs[subject]
			upstream, about := strings.CutPrefix(subject, "upstream ")
			if told[subject] == belief || about && !strings.Contains(line, upstream) {
				continue
			}
			told[subject] = belief
			if _, err := fmt.Fprintln(output, "in force:", belief); err != nil {
				return errors.WithStack(err)
			}
		}
		if _, err := fmt.Fprintln(output, line); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(scanner.Err())
}

// subjectOf returns what a line that is not about a request tells of, empty
// where it tells of nothing that decides requests.
func subjectOf(line string) string {
	message := regexp.MustCompile(`msg="?([a-z ]+)"?`).FindStringSubmatch(line)
	if message == nil {
		return ""
	}
	switch {
	case strings.HasPrefix(message[1], "upstream"):
		if id := regexp.MustCompile(` upstream=(\S+)`).FindStringSubmatch(line); id != nil {
			return "upstream " + id[1]
		}
		return ""
	case strings.HasPrefix(message[1], "policy"):
		return "policy"
	case strings.HasPrefix(message[1], "store"):
		topic := regexp.MustCompile(` topic=(\S+)`).FindString(line)
		return "store" + topic
	case strings.HasPrefix(message[1], "instance"), strings.HasPrefix(message[1], "watcher"):
		return message[1]
	default:
		return ""
	}
}
