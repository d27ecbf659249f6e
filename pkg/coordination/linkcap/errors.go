package linkcap

import "fmt"

// NoLinkError reports traffic between two regions without a link.
type NoLinkError struct{ From, To string }

// Error describes the missing link.
func (e *NoLinkError) Error() string {
	return fmt.Sprintf("no link from region %q to region %q is defined; add it to the settings or use a target in region %q",
		e.From, e.To, e.From)
}

// LinkFullError reports that the bytes of a link were not available in time.
type LinkFullError struct {
	From, To string
	Cause    error // error of the context whose end ended the wait
}

// Error describes the link without free bytes.
func (e *LinkFullError) Error() string {
	return fmt.Sprintf("link from region %q to region %q had no free bytes in time (%v); retry later or use another region",
		e.From, e.To, e.Cause)
}

// Unwrap returns the error of the context.
func (e *LinkFullError) Unwrap() error { return e.Cause }
