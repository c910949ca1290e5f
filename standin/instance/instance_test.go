package instance

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/platform"
)

// TestWithoutID checks that a request without an ID is rejected as not executed, whatever its
// method. It counts as a violation if it names its target and so was sent by a gateway, even
// the first time.
func TestWithoutID(t *testing.T) {
	missingID := func(method string) []string { return []string{method + " /pay/x was sent to i without an id"} }
	for name, c := range map[string]struct {
		method, target string
		status         int
		violations     []string
	}{
		"sent by a gateway":           {http.MethodPost, "i", http.StatusBadRequest, missingID(http.MethodPost)},
		"sent by a gateway, safe":     {http.MethodGet, "i", http.StatusBadRequest, missingID(http.MethodGet)},
		"meant for another instance":  {http.MethodPost, "j", http.StatusMisdirectedRequest, nil},
		"meant for no instance":       {http.MethodPost, "", http.StatusBadRequest, nil},
		"meant for no instance, safe": {http.MethodGet, "", http.StatusBadRequest, nil},
	} {
		o := NewOracle()
		r := httptest.NewRequest(c.method, "/pay/x", strings.NewReader("body"))
		if c.target != "" {
			platform.SetTarget(r.Header, c.target)
		}
		w := httptest.NewRecorder()
		New("i", false, 0, o).ServeHTTP(w, r)
		if w.Code != c.status || !platform.IsNotExecuted(w.Code, w.Header()) || o.InstanceRuns("i") != 0 {
			t.Errorf("%s: status %d, headers %v, %d runs", name, w.Code, w.Header(), o.InstanceRuns("i"))
		}
		if diff := cmp.Diff(c.violations, o.Violations()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestRunsTwice checks that executing a request twice is a violation unless its method is safe.
func TestRunsTwice(t *testing.T) {
	for method, want := range map[string][]string{http.MethodPost: {"request r ran 2 times"}, http.MethodGet: nil} {
		o := NewOracle()
		i := New("i", false, 0, o)
		for range 2 {
			r := httptest.NewRequest(method, "/pay/x", nil)
			r.Header.Set(platform.RequestID, "r")
			w := httptest.NewRecorder()
			i.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				t.Errorf("%s: status %d", method, w.Code)
			}
		}
		if diff := cmp.Diff(want, o.Violations()); diff != "" || o.Runs("r") != 2 {
			t.Errorf("%s: %d runs, %s", method, o.Runs("r"), diff)
		}
	}
}
