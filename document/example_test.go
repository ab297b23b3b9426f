package document_test

import (
	"fmt"

	"github.com/kumquathoist/kumquathoist/document"
)

// Two operators edit the same section based on the same revision; the second
// edit is refused.
func ExampleState_Fold() {
	state := document.New()
	for offset, author := range []string{"ana", "ben"} {
		raw, err := document.EncodeEdit(document.Edit{
			ID: author, Section: document.RoutingSection, Base: 0, Author: author, Body: "WasteWeight: 0.5",
		})
		if err != nil {
			fmt.Println(err)
		}
		state = state.Fold(document.Record{Offset: int64(offset), Data: raw})
	}
	for _, result := range state.Verdicts {
		fmt.Printf("%s %t %q\n", result.Author, result.Accepted, result.Reason)
	}
	// Output:
	// ana true ""
	// ben false "the edit is built on revision 0, and the section is at revision 1 by ana"
}
