package intent_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/intent"
)

func file(name, content string) intent.File {
	return intent.File{Name: name, Content: []byte(content)}
}

// TestLaterFileReplacesWholeIntent guards against merging two files on the same
// subject field by field: fields that only the earlier file sets must return to
// their defaults.
func TestLaterFileReplacesWholeIntent(t *testing.T) {
	got, problems := intent.Merge([]intent.File{
		file("90.json", `{"Kind":"DataCentreOut","DataCentre":"dc2","Out":false}`),
		file("20.json", `{"Kind":"Service","Name":"balance","Importance":"Critical","RefusalStatuses":[503],"HedgeBudget":0}`),
		file("10.json", `{"Kind":"Service","Name":"balance","Deadline":"250ms","ProbePath":"/health"}`),
		file("30.json", `{"Kind":"DataCentreOut","DataCentre":"dc2"}`),
		file("31.json", `{"Kind":"DataCentreOut","DataCentre":"dc3"}`),
		file("40.json", `{"Kind":"Spare","Service":"balance","BackendServer":"b7"}`),
		file("50.json", `{"Kind":"MeasuringBudget","ProbesPerSecond":20}`),
	})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := snipefront.Config{
		Services: map[string]snipefront.Service{"balance": {
			Name: "balance", Importance: snipefront.Critical, Deadline: time.Second,
			ColdLimit: 1, WarmUp: time.Second, RetryBudget: 0.1, RefusalStatuses: []int{503},
		}},
		DataCentresOut:  map[string]bool{"dc3": true},
		Spares:          map[snipefront.SpareName]bool{{Service: "balance", BackendServer: "b7"}: true},
		ProbesPerSecond: 20,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestMergeIgnoresFileOrder guards against a configuration that depends on the order in
// which the files are passed in, and not on their names alone.
func TestMergeIgnoresFileOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := rapid.SliceOfN(rapid.Custom(drawFile), 0, 12).Draw(t, "files")
		config, problems := intent.Merge(files)
		shuffled := rapid.Permutation(files).Draw(t, "shuffled")
		shuffledConfig, shuffledProblems := intent.Merge(shuffled)
		if hasDuplicateName(files) {
			if len(problems) == 0 || len(shuffledProblems) == 0 {
				t.Fatal("two files with the same name were accepted")
			}
			return
		}
		if !reflect.DeepEqual(config, shuffledConfig) || !reflect.DeepEqual(problems, shuffledProblems) {
			t.Fatalf("result depends on the order of files:\n%+v %v\n%+v %v", config, problems, shuffledConfig, shuffledProblems)
		}
	})
}

// drawFile draws a file with one of a few subjects, so that files often share one.
func drawFile(t *rapid.T) intent.File {
	number := rapid.IntRange(1, 3)
	content := rapid.SampledFrom([]string{
		fmt.Sprintf(`{"Kind":"Service","Name":"s%d","ColdLimit":%d}`, number.Draw(t, "service"), number.Draw(t, "limit")),
		fmt.Sprintf(`{"Kind":"DataCentreOut","DataCentre":"dc%d","Out":%t}`, number.Draw(t, "dc"), rapid.Bool().Draw(t, "out")),
		fmt.Sprintf(`{"Kind":"Spare","Service":"s%d","BackendServer":"b","Spare":%t}`, number.Draw(t, "of"), rapid.Bool().Draw(t, "spare")),
		fmt.Sprintf(`{"Kind":"MeasuringBudget","ProbesPerSecond":%d}`, number.Draw(t, "probes")),
		`{"Kind":"Service","Name":"s1","ColdLimit":0,"Extra":1}`,
	}).Draw(t, "content")
	return file(fmt.Sprintf("%02d.json", rapid.IntRange(0, 40).Draw(t, "name")), content)
}

func hasDuplicateName(files []intent.File) bool {
	seen := make(map[string]bool)
	for _, f := range files {
		if seen[f.Name] {
			return true
		}
		seen[f.Name] = true
	}
	return false
}

// TestMergeRejectsOversizedInput guards against a file or a folder over the limits that
// is accepted.
func TestMergeRejectsOversizedInput(t *testing.T) {
	big := `{"Kind":"Service","Name":"a"` + strings.Repeat(" ", intent.MaxFileBytes) + "}"
	if _, p := intent.Merge([]intent.File{file("a.json", big)}); len(p) != 1 {
		t.Errorf("a file that is too long gave problems %v, want one", p)
	}
	if _, p := intent.Merge(make([]intent.File, intent.MaxFiles+1)); len(p) != 1 {
		t.Errorf("a folder with too many files gave %d problems, want one", len(p))
	}
}

// TestLoadAcceptsOnlyRegularJSONFiles guards against a file that is silently ignored
// although the operator meant it as an intent. Only hidden files and editor backups are
// skipped without a problem.
func TestLoadAcceptsOnlyRegularJSONFiles(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a.json", ".hidden.json", "a.json~", "b.txt"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("{}"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Symlink("a.json", filepath.Join(dir, "c.json")); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "d.json"), 0o700); err != nil {
		t.Fatal(err)
	}
	files, problems, err := intent.Load(dir)
	if err != nil || len(files) != 1 || files[0].Name != "a.json" {
		t.Errorf("files %v, error %v, want a.json only", files, err)
	}
	var rejected []string
	for _, p := range problems {
		rejected = append(rejected, p.File)
	}
	if want := []string{"b.txt", "c.json", "d.json"}; !reflect.DeepEqual(rejected, want) {
		t.Errorf("rejected %v, want %v", rejected, want)
	}
}

// FuzzMerge guards against malformed files that crash Merge, that it accepts with values
// out of range, or that it rejects without saying what is expected.
func FuzzMerge(f *testing.F) {
	f.Add("a.json", `{"Kind":"Service","Name":"balance","Deadline":"250ms","RefusalStatuses":[503]}`)
	f.Add("a.json", `{"Kind":"Service","Name":"balance","Name":"other","deadline":1,"RetryBudget":1e99}`)
	f.Add("b.json", `{"Kind":"Spare","Service":"other","BackendServer":"b7"} trailing`)
	f.Add(".c.json", `{"Kind":"DataCentreOut","DataCentre":null}`)
	f.Add("d.json", `[{"Kind":7}]`)
	f.Add("e.json", `{"Kind":"MeasuringBudget","ProbesPerSecond":-0}`)
	f.Fuzz(func(t *testing.T, name, content string) {
		base := file("0.json", `{"Kind":"Service","Name":"other"}`)
		config, problems := intent.Merge([]intent.File{file(name, content), base})
		for _, p := range problems {
			if p.Expected == "" || p.Error() == "" {
				t.Errorf("problem does not say what is expected: %+v", p)
			}
		}
		if len(problems) > 0 {
			if config.Services != nil {
				t.Errorf("problems %v came with a configuration", problems)
			}
			return
		}
		for name, s := range config.Services {
			if name != s.Name || s.Deadline <= 0 || s.ColdLimit < 1 || s.RetryBudget < 0 || s.RetryBudget > 1 {
				t.Errorf("accepted %q as %+v, which is out of range", content, s)
			}
		}
	})
}

// TestDiffIgnoresWhitespaceAndFieldOrder guards against a diff that shows operators files
// whose meaning has not changed.
func TestDiffIgnoresWhitespaceAndFieldOrder(t *testing.T) {
	before := []intent.File{file("a.json", `{"A":1,"B":"<"}`), file("b.json", `{"A":1}`), file("c.json", `{}`)}
	after := []intent.File{file("d.json", `{}`), file("b.json", `{"A":2}`), file("a.json", "{ \"B\":\"\\u003c\",\n\"A\":1}")}
	want := []intent.Change{
		{Name: "b.json", Old: `{"A":1}`, New: `{"A":2}`, Fields: []intent.FieldChange{{Name: "A", Old: "1", New: "2"}}},
		{Name: "c.json", Old: "{}"},
		{Name: "d.json", New: "{}"},
	}
	if got := intent.Diff(before, after); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestMergerMatchesMerge guards against a Merger that reuses the parsed form of a
// file after the file was changed or removed. Successive folders must give the same
// results as Merge, which parses every file.
func TestMergerMatchesMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m intent.Merger
		for range rapid.IntRange(1, 6).Draw(t, "folders") {
			files := rapid.SliceOfN(rapid.Custom(drawFile), 0, 12).Draw(t, "files")
			want, wantProblems := intent.Merge(files)
			got, problems := m.Merge(files)
			if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(problems, wantProblems) {
				t.Fatalf("got %+v and %v, want %+v and %v", got, problems, want, wantProblems)
			}
		}
	})
}
