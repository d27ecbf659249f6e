package seat

import "fmt"

// SeatsInUseError reports seats that were still in use when a planned stop
// ended.
type SeatsInUseError struct{ Seats int }

// Error says what happens to the seats and what the operator can do.
func (e *SeatsInUseError) Error() string {
	return fmt.Sprintf("%d seats were still in use and stay with this process; start it again on the same address to use them, or allow a longer stop_timeout",
		e.Seats)
}
