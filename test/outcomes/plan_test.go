package outcomes

import (
	"time"

	"pgregory.net/rapid"
)

// targetKind is how a target treats the first attempt at a request.
type targetKind string

const (
	targetServes            targetKind = "serves"
	targetRefuses           targetKind = "refuses"
	targetRefusesWithoutID  targetKind = "refuses without the id"
	targetRunsWithStatus    targetKind = "runs it and responds with 503 without not-run"
	targetCopyWithoutID     targetKind = "runs it after a second copy of an earlier refusal without an id"
	targetCopyOfOther       targetKind = "runs it after a second copy of the refusal of the request before"
	targetRunsAndResets     targetKind = "runs it and resets the connection"
	targetResetsUnread      targetKind = "resets the connection without reading"
	targetRunsAndHalfCloses targetKind = "runs it and closes its sending side"
	targetRunsLate          targetKind = "runs it long after its deadline"
)

// requestPlan is one request of a caller with a ticket of its own.
type requestPlan struct {
	Target    targetKind
	Work      time.Duration
	BodyBytes int
	Deadline  time.Duration
	// Resends sends the ticket again, through the other VM, after an outcome that
	// is not known.
	Resends bool
}

type signalPlan string

const (
	signalNone  signalPlan = "none"
	signalTerm  signalPlan = "SIGTERM"
	signalPause signalPlan = "SIGSTOP and SIGCONT"
	signalKill  signalPlan = "SIGKILL"
)

// callerPlan is one caller, which sends its requests one after the other.
type callerPlan struct {
	VM       int
	Requests []requestPlan
}

// play is one run of the check.
type play struct {
	Callers  []callerPlan
	Signal   signalPlan // to the first VM
	SignalAt time.Duration
}

func milliseconds(values ...int) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, "ms")) * time.Millisecond
	})
}

var requestPlans = rapid.Custom(func(t *rapid.T) requestPlan {
	return requestPlan{
		Target: rapid.SampledFrom([]targetKind{
			targetServes, targetServes, targetServes, targetServes, targetServes, targetServes, targetServes, targetServes,
			targetRefuses, targetRefusesWithoutID, targetRunsWithStatus, targetCopyWithoutID, targetCopyWithoutID, targetCopyOfOther,
			targetRunsAndResets, targetResetsUnread, targetRunsAndHalfCloses, targetRunsLate,
		}).Draw(t, "target"),
		Work:      milliseconds(0, 0, 5, 50, 200).Draw(t, "work"),
		BodyBytes: rapid.SampledFrom([]int{0, 10, 100_000}).Draw(t, "body"),
		Deadline:  milliseconds(300, 1000, 3000).Draw(t, "deadline"),
		Resends:   rapid.Bool().Draw(t, "resends"),
	}
})

var plays = rapid.Custom(func(t *rapid.T) play {
	callers := rapid.Custom(func(t *rapid.T) callerPlan {
		return callerPlan{
			VM:       rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "vm"),
			Requests: rapid.SliceOfN(requestPlans, 2, 8).Draw(t, "requests"),
		}
	})
	return play{
		Callers:  rapid.SliceOfN(callers, 6, 12).Draw(t, "callers"),
		Signal:   rapid.SampledFrom([]signalPlan{signalNone, signalNone, signalTerm, signalPause, signalKill}).Draw(t, "signal"),
		SignalAt: milliseconds(0, 20, 50, 100, 200, 400).Draw(t, "signal at"),
	}
})
