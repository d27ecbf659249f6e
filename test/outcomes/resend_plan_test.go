package outcomes

import (
	"time"

	"pgregory.net/rapid"
)

// copyPlan is when a target sends the copy of its refusal of a request that is
// under way again on the same connection.
type copyPlan string

const (
	copyNever       copyPlan = "never"
	copyBeforeRun   copyPlan = "before it runs the request"
	copyAfterRun    copyPlan = "after it has run the request"
	copyWithTheNext copyPlan = "in one segment with the response"
)

// resendPlan is how a caller sends a request again after the outcome not_run.
type resendPlan string

const (
	resendSameVM    resendPlan = "with its ticket through the same VM"
	resendOtherVM   resendPlan = "with its ticket through the other VM"
	resendNewTicket resendPlan = "with a new ticket"
)

// resentRequestPlan is one request that targets refuse before one of them runs
// it.
type resentRequestPlan struct {
	Refusals  int // attempts that are refused
	Copy      copyPlan
	Copies    int // of the refusal that is sent again
	Work      time.Duration
	BodyBytes int
	Deadline  time.Duration
	// Twin sends the request through both VMs at the same time at first.
	Twin    bool
	Resends []resendPlan // in this order, until the outcome is another than not_run
}

// resendCallerPlan is one caller, which sends its requests one after the other.
type resendCallerPlan struct {
	VM       int
	Requests []resentRequestPlan
}

// resendPlay is one run of the check of requests that are sent again.
type resendPlay struct {
	Callers  []resendCallerPlan
	Signal   signalPlan // to the first VM
	SignalAt time.Duration
}

var resentRequestPlans = rapid.Custom(func(t *rapid.T) resentRequestPlan {
	return resentRequestPlan{
		Refusals: rapid.SampledFrom([]int{0, 1, 2, 2, 2, 2, 3, 4}).Draw(t, "refusals"),
		Copy: rapid.SampledFrom([]copyPlan{
			copyNever, copyBeforeRun, copyBeforeRun, copyAfterRun, copyAfterRun, copyWithTheNext,
		}).Draw(t, "copy"),
		Copies:    rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "copies"),
		Work:      milliseconds(0, 0, 5, 50, 200).Draw(t, "work"),
		BodyBytes: rapid.SampledFrom([]int{0, 10, 100_000}).Draw(t, "body"),
		Deadline:  milliseconds(300, 1000, 3000).Draw(t, "deadline"),
		Twin:      rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "twin"),
		Resends: rapid.SliceOfN(rapid.SampledFrom([]resendPlan{
			resendSameVM, resendSameVM, resendOtherVM, resendOtherVM, resendNewTicket,
		}), 1, 3).Draw(t, "resends"),
	}
})

var resendPlays = rapid.Custom(func(t *rapid.T) resendPlay {
	callers := rapid.Custom(func(t *rapid.T) resendCallerPlan {
		return resendCallerPlan{
			VM:       rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "vm"),
			Requests: rapid.SliceOfN(resentRequestPlans, 4, 12).Draw(t, "requests"),
		}
	})
	return resendPlay{
		Callers:  rapid.SliceOfN(callers, 1, 4).Draw(t, "callers"),
		Signal:   rapid.SampledFrom([]signalPlan{signalNone, signalNone, signalNone, signalTerm, signalPause, signalKill}).Draw(t, "signal"),
		SignalAt: milliseconds(0, 20, 50, 100, 200, 400).Draw(t, "signal at"),
	}
})
