package seat

import "fmt"

// HeldError reports seats that were still in use when a planned stop ended.
type HeldError struct{ Seats int }

// Error describes what happens to the seats.
func (e *HeldError) Error() string {
	return fmt.Sprintf("%d seats were still in use and stay with this process; start it again on the same address to use them, or allow a longer stop_timeout",
		e.Seats)
}
