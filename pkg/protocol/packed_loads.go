package protocol

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Layout of one target in packed loads.
const (
	packedLoadSize = 7
	// slownessUnit is the unit of the packed slowness in percent, ageUnit that of its
	// age in milliseconds.
	slownessUnit, ageUnit = 10, 10
	maxPackedValue        = 255
)

// TargetHash identifies a target in packed loads.
func TargetHash(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// PackLoads encodes loads in seven bytes a target, which is a third of their size as
// a list. Values above the largest that a byte holds are lowered to it.
func PackLoads(loads []TargetLoad) []byte {
	packed := make([]byte, 0, packedLoadSize*len(loads))
	for _, l := range loads {
		packed = binary.BigEndian.AppendUint32(packed, TargetHash(l.Target))
		packed = append(packed, packValue(l.InFlight, 1), packValue(l.SlownessPercent, slownessUnit), packValue(l.SlownessAgeMs, ageUnit))
	}
	return packed
}

func packValue(n, unit int) byte { return byte(max(0, min(maxPackedValue, (n+unit/2)/unit))) }

// UnpackLoads decodes the loads of the targets that find knows by their hash. An
// incomplete last target is ignored.
func UnpackLoads(packed []byte, find func(hash uint32) (target string, ok bool)) []TargetLoad {
	loads := make([]TargetLoad, 0, len(packed)/packedLoadSize)
	for ; len(packed) >= packedLoadSize; packed = packed[packedLoadSize:] {
		target, ok := find(binary.BigEndian.Uint32(packed))
		if !ok {
			continue
		}
		loads = append(loads, TargetLoad{
			Target: target, InFlight: int(packed[4]), SlownessPercent: int(packed[5]) * slownessUnit, SlownessAgeMs: int(packed[6]) * ageUnit,
		})
	}
	return loads
}
