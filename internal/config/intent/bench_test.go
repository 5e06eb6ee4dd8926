package intent_test

import (
	"fmt"
	"testing"

	"github.com/snipefront/snipefront/internal/config/intent"
)

// BenchmarkMerge measures merging a folder of services from scratch, and merging
// it again with a Merger after one file has changed.
func BenchmarkMerge(b *testing.B) {
	for _, files := range []int{10, 3300} {
		b.Run(fmt.Sprintf("files=%d", files), func(b *testing.B) {
			list := folder(files)
			for b.Loop() {
				if _, problems := intent.Merge(list); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
		b.Run(fmt.Sprintf("files=%d/changed=1", files), func(b *testing.B) {
			list := folder(files)
			var m intent.Merger
			for n := 0; b.Loop(); n++ {
				list[0] = file("0000.json", fmt.Sprintf(`{"Kind":"MeasuringBudget","ProbesPerSecond":%d}`, n%100))
				if _, problems := m.Merge(list); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
	}
}

func folder(files int) []intent.File {
	var list []intent.File
	for n := range files {
		list = append(list, file(fmt.Sprintf("%04d.json", n), fmt.Sprintf(`{"Kind":"Service","Name":"service-%04d","Importance":"Critical","Deadline":"250ms","ColdLimit":1}`, n)))
	}
	return list
}
