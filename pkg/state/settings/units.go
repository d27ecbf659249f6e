package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration written with its unit, such as "250ms".
type Duration time.Duration

// String returns d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes d with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q needs a number and a unit such as 250ms or 5s", text)
	}
	*d = Duration(v)
	return nil
}

// Bandwidth is a data rate in bits per second, written with its unit, such as
// "400Mbit/s".
type Bandwidth int64

var bandwidthUnits = []struct {
	suffix string
	factor float64
}{
	{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}, {"bit/s", 1},
}

// BytesPerSecond returns the rate in bytes per second.
func (b Bandwidth) BytesPerSecond() int64 { return int64(b) / 8 }

// String returns b with the largest unit that divides it.
func (b Bandwidth) String() string {
	for _, u := range bandwidthUnits {
		if int64(b)%int64(u.factor) == 0 && b != 0 {
			return fmt.Sprintf("%d%s", int64(b)/int64(u.factor), u.suffix)
		}
	}
	return "0bit/s"
}

// MarshalText writes b with its unit.
func (b Bandwidth) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText parses a data rate with its unit.
func (b *Bandwidth) UnmarshalText(text []byte) error {
	s := strings.TrimSpace(string(text))
	for _, u := range bandwidthUnits {
		number, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || v < 0 || v*u.factor > 1e15 {
			break
		}
		*b = Bandwidth(v * u.factor)
		return nil
	}
	return fmt.Errorf("bandwidth %q needs a number and a unit such as 400Mbit/s or 4Gbit/s", text)
}
