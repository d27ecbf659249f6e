package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"hickoryroute/pkg/transport/platform"
)

// FaultsDocument is the body of /control/faults. A POST changes only the
// fields that are present.
type FaultsDocument struct {
	Outage      *bool  `json:"outage,omitempty"`
	SlowMs      *int64 `json:"slow_ms,omitempty"`
	LoseReplies *bool  `json:"lose_replies,omitempty"`
	StaleReads  *bool  `json:"stale_reads,omitempty"`
	VMListLagMs *int64 `json:"vm_list_lag_ms,omitempty"`
}

// LimitsDocument is the body of PUT /control/limits, in calls per second.
type LimitsDocument struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// addControlRoutes adds the endpoints for scripts:
//
//	POST   /control/faults       FaultsDocument
//	PUT    /control/limits       LimitsDocument
//	GET    /control/calls        number of calls by operation
//	GET    /control/vms          the VM list without delay
//	PUT    /control/vms          replaces the VM list
//	POST   /control/vms          adds or replaces one VM
//	DELETE /control/vms?address= removes one VM
func (s *Server) addControlRoutes(r chi.Router) {
	r.Post("/control/faults", s.serveFaults)
	r.Put("/control/limits", s.serveLimits)
	r.Get("/control/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Calls())
	})
	r.Get("/control/vms", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, platform.VMsDocument{VMs: s.CurrentVMs()})
	})
	r.Put("/control/vms", s.serveSetVMs)
	r.Post("/control/vms", s.servePutVM)
	r.Delete("/control/vms", func(w http.ResponseWriter, r *http.Request) {
		s.RemoveVM(r.URL.Query().Get("address"))
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

// decodeBody decodes the JSON body into d. It sends an error and returns false if
// the body is invalid.
func decodeBody(w http.ResponseWriter, r *http.Request, d any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(d); err != nil {
		writeReply(w, nil, invalidParameter("body", err))
		return false
	}
	return true
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var d FaultsDocument
	if !decodeBody(w, r, &d) {
		return
	}
	s.UpdateFaults(d.apply)
	if d.VMListLagMs != nil {
		s.SetVMListLag(time.Duration(*d.VMListLagMs) * time.Millisecond)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// apply sets in f the faults whose fields are present.
func (d FaultsDocument) apply(f *Faults) {
	if d.Outage != nil {
		f.Outage = *d.Outage
	}
	if d.SlowMs != nil {
		f.Delay = time.Duration(*d.SlowMs) * time.Millisecond
	}
	if d.LoseReplies != nil {
		f.LoseReplies = *d.LoseReplies
	}
	if d.StaleReads != nil {
		f.StaleReads = *d.StaleReads
	}
}

func (s *Server) serveLimits(w http.ResponseWriter, r *http.Request) {
	var d LimitsDocument
	if !decodeBody(w, r, &d) {
		return
	}
	s.SetLimits(d.Reads, d.Writes)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var d platform.VMsDocument
	if !decodeBody(w, r, &d) {
		return
	}
	s.SetVMs(d.VMs)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if !decodeBody(w, r, &vm) {
		return
	}
	s.PutVM(vm)
	writeJSON(w, http.StatusOK, struct{}{})
}
