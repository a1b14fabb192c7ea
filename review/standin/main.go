// Command standin plays the surroundings of jayfield for the scripts of this review: the
// platform's store, engines and clients. It starts the instances with the command of the deploy
// file, disturbs them as one case says, and checks one rule.
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the deployments and days of the scripts, by name.
var cases = map[string]struct {
	zones   []string
	perZone int
	play    func(s *site, trouble bool) (broken string, err error)
}{
	"config":  {[]string{"amman-a"}, 3, configBehindCutReader},
	"stop":    {[]string{"amman-a", "irbid-a"}, 1, stopAfterLimitsChange},
	"removal": {[]string{"amman-a", "irbid-a", "aqaba-a"}, 2, removalAroundRestart},
	"drain":   {[]string{"amman-a", "irbid-a", "aqaba-a"}, 1, drainAfterRestart},
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE ROOT FOLDER")
		return 2
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return 2
	}
	// REVIEW_LOGS names a folder for the settings and logs of the instances, which are dropped else.
	scratch := os.Getenv("REVIEW_LOGS")
	if scratch == "" {
		folder, err := os.MkdirTemp("", "review-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(folder) }()
		scratch = folder
	}
	s, err := newSite(os.Args[2], os.Args[3], scratch, c.zones, c.perZone)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.stop()
	broken, err := c.play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.record.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		s.record.line("broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	s.record.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
