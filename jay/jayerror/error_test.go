package jayerror_test

import (
	"fmt"

	"jayfield.example/jay/jayerror"
)

type kind string

const kindRefused kind = "refused"

func ExampleIs() {
	err := fmt.Errorf("publish: %w", jayerror.New("append", kindRefused, "log is read-only"))
	fmt.Println(err)
	fmt.Println(jayerror.Is(err, kindRefused))
	// Output:
	// publish: append: refused: log is read-only
	// true
}
