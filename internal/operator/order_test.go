package operator_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"alderdyke/internal/engine"
	"alderdyke/internal/operator"
)

// For any input, readOrder returns an order that may be sent to an engine, or a
// Fault.
func FuzzReadOrder(f *testing.F) {
	f.Add(`{"Server":"e-1","Kind":"LoadModel","Name":"m-2"}`)
	f.Add(`{"Server":"e-1","Kind":"ChangeRole","Name":"m-2"}`)
	f.Add(`{"Server":"e-1","Kind":"LoadAdapter","Name":"a\nb","Fence":7}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, text string) {
		od, err := operator.ReadOrder(httptest.NewRecorder(), httptest.NewRequest("POST", "/orders", strings.NewReader(text)))
		var fa operator.Fault
		if err != nil {
			if !errors.As(err, &fa) || fa.Reason == "" || od != (operator.Order{}) {
				t.Fatalf("%+v, %v", od, err)
			}
			return
		}
		known := od.Kind == engine.LoadModel || od.Kind == engine.LoadAdapter || od.Kind == engine.LoadVersion
		if !known || od.Server == "" || od.Name == "" || len(od.Name) > 128 || strings.ContainsAny(od.Name, " \n\t") {
			t.Fatalf("%+v", od)
		}
	})
}
