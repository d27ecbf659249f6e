package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/platform"
)

// Handler returns the HTTP interface: below /v1 the protocol that package
// transport/platform documents, and below /control the endpoints for scripts.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/kv/*", s.serveRead)
	r.Put("/v1/kv/*", s.serveWrite)
	r.Delete("/v1/kv/*", s.serveDelete)
	r.Post("/v1/leases", s.serveGrant)
	r.Post("/v1/leases/{id}/keepalive", s.serveKeepAlive)
	r.Delete("/v1/leases/{id}", s.serveRevoke)
	r.Get("/v1/watch", s.serveWatch)
	r.Get("/v1/vms", s.serveVMs)
	s.addControlRoutes(r)
	return r
}

func requestKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/v1/kv/") }

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("prefix") {
		entries, err := s.List(r.Context(), query.Get("prefix"))
		writeReply(w, entriesDocument(entries), err)
		return
	}
	entry, err := s.Get(r.Context(), requestKey(r))
	writeReply(w, entry.Document(), err)
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	expect, err := queryInt(r, "cas")
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	var lease int64
	if r.URL.Query().Has("lease") {
		if lease, err = queryInt(r, "lease"); err != nil {
			writeReply(w, nil, err)
			return
		}
	}
	revision, err := s.CompareAndSwap(r.Context(), requestKey(r), value, expect, platform.LeaseID(lease))
	writeReply(w, platform.RevisionDocument{Revision: revision}, err)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, err := queryInt(r, "cas")
	if err == nil {
		err = s.Delete(r.Context(), requestKey(r), expect)
	}
	writeReply(w, struct{}{}, err)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var d platform.LeaseDocument
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil {
		writeReply(w, nil, invalidParameter("body", err))
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(d.TTLMs)*time.Millisecond)
	writeReply(w, platform.LeaseDocument{ID: int64(id), TTLMs: d.TTLMs}, err)
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		writeReply(w, nil, invalidParameter("id", err))
		return
	}
	writeReply(w, struct{}{}, s.KeepAlive(r.Context(), platform.LeaseID(id)))
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		writeReply(w, nil, invalidParameter("id", err))
		return
	}
	writeReply(w, struct{}{}, s.Revoke(r.Context(), platform.LeaseID(id)))
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := queryInt(r, "after")
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		writeReply(w, nil, invalidParameter("wait", err))
		return
	}
	entries, err := s.watch(r.Context(), r.URL.Query().Get("prefix"), after, wait)
	writeReply(w, entriesDocument(entries), err)
}

func (s *Server) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMs(r.Context())
	if vms == nil {
		vms = []platform.VM{}
	}
	writeReply(w, platform.VMsDocument{VMs: vms}, err)
}

func entriesDocument(entries []platform.Entry) platform.EntriesDocument {
	d := platform.EntriesDocument{Entries: []platform.EntryDocument{}}
	for _, e := range entries {
		d.Entries = append(d.Entries, e.Document())
	}
	return d
}

// queryInt reads an integer from the query.
func queryInt(r *http.Request, name string) (int64, error) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0, invalidParameter(name, err)
	}
	return n, nil
}

func invalidParameter(name string, err error) error {
	return &platform.RequestError{Op: name, Status: http.StatusBadRequest, Message: name + ": " + err.Error()}
}

// writeReply sends body, or the error document for err. For a lost reply it
// closes the connection.
func writeReply(w http.ResponseWriter, body any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, body)
		return
	}
	d := platform.ErrorDocument{Error: err.Error()}
	var conflict *platform.ConflictError
	var request *platform.RequestError
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, platform.ErrReplyLost):
		panic(http.ErrAbortHandler)
	case errors.As(err, &conflict):
		status = http.StatusConflict
		current := conflict.Current.Document()
		d.Current = &current
	case errors.As(err, &request):
		status, d.Error = request.Status, request.Message
	case errors.Is(err, platform.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, platform.ErrLeaseExpired):
		status = http.StatusGone
	case errors.Is(err, platform.ErrRateLimited):
		status = http.StatusTooManyRequests
	case errors.Is(err, platform.ErrUnavailable):
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, d)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
