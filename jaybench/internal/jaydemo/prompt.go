// Package jaydemo serves requests in the manner of both users on a small site
// and checks that each caller got the whole answer to its own request.
package jaydemo

import "strings"

// Prompt is a request for tokens.
type Prompt struct {
	Caller, Region string
	Title          string
	Text           string
	Tokens         int
}

// surveyLine is a line of a roof survey, of which long prompts consist.
const surveyLine = "Field %d: pitch 38 degrees, slate on battens at 245 mm, eave 11.4 m, snow zone C2, two dormers, gutter iron, rafters 80 by 180 at 640 mm. "

// Prompts returns the requests of the demonstration.
func Prompts() []Prompt {
	survey := strings.Repeat(surveyLine, 40)
	return []Prompt{
		{"shop-12", "amman", "stock question", "Are the 2027 week-per-page inserts, A5, six holes, in stock at the Irbid depot, and how many may I take for a pickup at noon?", 24},
		{"shop-12", "amman", "order summary", "Read my order back: 12 dated inserts, 4 leather covers in tan, 20 pen loops. Branch Madaba, invoice at the end of the month.", 40},
		{"desk-3", "irbid", "bracket check", "Drawing R-218 shows three rows of guards at 900 mm. The survey says the rafters are at 640 mm. Do the brackets meet the rafters?", 32},
		{"desk-3", "irbid", "survey summary", "Summarise this survey for the crew.\n" + survey, 120},
		{"clerk-7", "aqaba", "crew question", "Which crews are free in the week of 11 January for a house with a steep slate roof above 1,400 m?", 20},
		{"shop-12", "amman", "second stock question", "And the pocket size?", 12},
		{"clerk-7", "aqaba", "letter", "Write two sentences to the owner: the crew comes on Tuesday at eight, the road must be free.", 48},
		{"desk-3", "irbid", "long drawing check", "Check each field of this survey against drawing R-219.\n" + survey + survey, 64},
	}
}
