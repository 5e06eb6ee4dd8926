package intent_test

import (
	"strings"
	"testing"

	"github.com/snipefront/snipefront/internal/config/intent"
)

// nested returns JSON of arrays, depth deep.
func nested(depth int) string {
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

// TestOddIntentIsAProblem guards against one odd file, nested too deeply or with a number too
// large, that ends a process, is in force, or isn't named as the problem.
func TestOddIntentIsAProblem(t *testing.T) {
	for name, content := range map[string]string{
		"nested":                      nested(20_000),
		"nested in a field":           `{"Kind":"Service","Name":` + nested(20_000) + `}`,
		"nested, just not too deeply": `{"Kind":"Service","Name":` + nested(9_990) + `}`,
		"nested kind":                 `{"Kind":` + nested(9_990) + `}`,
		"nested objects":              strings.Repeat(`{"Kind":`, 7_000) + `1` + strings.Repeat(`}`, 7_000),
		"nested and cut":              strings.Repeat("[", 60_000),
		"number over all":             `{"Kind":"Service","Name":"a","RetryBudget":1e400}`,
		"number too large":            `{"Kind":"Service","Name":"a","ColdLimit":1e30}`,
		"limit too large":             `{"Kind":"Service","Name":"a","ColdLimit":9223372036854775807}`,
		"budget too large":            `{"Kind":"MeasuringBudget","ProbesPerSecond":1e300}`,
		"duration too long":           `{"Kind":"Service","Name":"a","WarmUp":"9999999h"}`,
		"negative duration":           `{"Kind":"Service","Name":"a","Deadline":"-1s"}`,
		"status too large":            `{"Kind":"Service","Name":"a","RefusalStatuses":[9223372036854775807]}`,
		"null":                        `null`,
		"nothing":                     ``,
		"bytes":                       "\xff\x00",
	} {
		good := file("a.json", `{"Kind":"Service","Name":"a"}`)
		config, problems := intent.Merge([]intent.File{good, file("odd.json", content)})
		if len(problems) != 1 || problems[0].File != "odd.json" || len(config.Services) > 0 {
			t.Errorf("%s: the problems are %.200v, want one, of odd.json", name, problems)
		}
	}
}
