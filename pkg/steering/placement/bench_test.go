package placement

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures the choice among the 160 targets of a region with two zones,
// by region and by zone.
func BenchmarkPick(b *testing.B) {
	list := zonedTargets(80, 80)
	objects := make([]string, 500)
	for i := range objects {
		objects[i] = fmt.Sprint(i)
	}
	for name, p := range map[string]*Picker{
		"region": newZonePicker("a", lookupBytes, nearZone), "zone": newZonePicker("a", lookupBytes, farZone),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c, _ := p.Pick(list, query(objects[i%len(objects)], start))
				p.Done(c, Result{Responded: true, Bytes: lookupBytes, Now: start})
			}
		})
	}
}
