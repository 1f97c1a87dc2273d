package backend_test

import (
	"fmt"

	"alderdyke/internal/backend"
)

func ExampleNotRun() {
	declined := fmt.Errorf("import: %w", backend.DeclinedError{Server: "d1", Call: "Import", Reason: backend.Full})
	doubt := fmt.Errorf("import: %w", backend.InDoubtError{Server: "d1", Call: "Import"})
	fmt.Println(backend.NotRun(declined), backend.NotRun(doubt))
	// Output: true false
}
