package operatorhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
)

// maxBodyBytes limits the body of a request or problem. It admits the largest
// tree with its JSON escapes.
const maxBodyBytes = 4 << 20

// MaxSettingsAge is the age above which /readyz reports the settings as old. A
// watch without changes confirms them every 30 s, and one lost watch can add its
// timeout of 60 s. The VM stays ready, because the settings in force are still
// valid.
const MaxSettingsAge = 90 * time.Second

// Tokens maps operator names to their bearer tokens. If it is empty, everyone has
// access as "anonymous".
type Tokens map[string]string

// ParseTokens parses tokens of the form "name:token,name:token".
func ParseTokens(s string) (Tokens, error) {
	tokens := Tokens{}
	for _, pair := range strings.Split(s, ",") {
		if pair = strings.TrimSpace(pair); pair == "" {
			continue
		}
		name, token, ok := strings.Cut(pair, ":")
		if !ok || name == "" || len(token) < 8 {
			return nil, errors.New("operator tokens must have the form name:token, separated by commas, with tokens of at least 8 characters")
		}
		tokens[name] = token
	}
	return tokens, nil
}

// author returns the operator that sent r, from the client certificate or the
// bearer token.
func (t Tokens) author(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName, true
	}
	if len(t) == 0 {
		return "anonymous", true
	}
	sent, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sentSum := sha256.Sum256([]byte(sent))
	author := ""
	for name, token := range t {
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(sum[:], sentSum[:]) == 1 {
			author = name
		}
	}
	return author, author != ""
}

type server struct {
	backend Backend
	tokens  Tokens
}

// Handler returns the handler of the operator interface, including the metrics
// and health endpoints.
func Handler(b Backend, tokens Tokens) http.Handler {
	s := &server{backend: b, tokens: tokens}
	r := chi.NewRouter()
	MountHealthAndMetrics(r, b)
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get("/v1/tree", s.tree)
		r.Get("/v1/explain", s.explain)
		r.Post("/v1/edits", s.edit)
		r.Post("/v1/validate", s.validate)
		r.Get("/v1/history", s.history)
		r.Get("/v1/history/{revision}", s.revision)
		r.Get("/v1/status", s.status)
		r.Get("/v1/timeline", s.timeline)
	})
	return r
}

// MetricsHandler returns a handler of only the metrics and health endpoints, for
// a separate port.
func MetricsHandler(b Backend) http.Handler {
	r := chi.NewRouter()
	MountHealthAndMetrics(r, b)
	return r
}

// MountHealthAndMetrics adds /healthz, /readyz and /metrics to r.
func MountHealthAndMetrics(r chi.Router, b Backend) {
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"state": "alive"})
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := b.Ready()
		age := b.SettingsAge()
		status := http.StatusOK
		if !ready {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, readiness{
			Ready: ready, Reason: reason,
			SettingsAgeSeconds: age.Seconds(), SettingsOld: age > MaxSettingsAge,
		})
	})
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		b.WriteMetrics(w)
	})
}

type readiness struct {
	Ready              bool    `json:"ready"`
	Reason             string  `json:"reason,omitempty"`
	SettingsAgeSeconds float64 `json:"settings_age_seconds"`
	SettingsOld        bool    `json:"settings_old"`
}

func (s *server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		author, ok := s.tokens.author(r)
		if !ok {
			protocol.NewProblem(http.StatusUnauthorized, protocol.CodeUnauthorized, "",
				"the request carries no valid operator token",
				"send Authorization: Bearer with your token, or set HICKORY_TOKEN").Write(w)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(withAuthor(r.Context(), author)))
	})
}

func (s *server) tree(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Tree())
}

func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	reply, err := s.backend.Explain(r.URL.Query().Get("path"))
	respond(w, reply, err)
}

func (s *server) edit(w http.ResponseWriter, r *http.Request) {
	var edit EditRequest
	if !readJSON(w, r, &edit) {
		return
	}
	if edit.RequestID == "" || strings.TrimSpace(edit.Reason) == "" {
		badRequest(w, "an edit needs request_id and reason", "set both; the reason is shown to the other operators")
		return
	}
	reply, err := s.backend.Edit(r.Context(), authorFrom(r.Context()), edit)
	respond(w, reply, err)
}

func (s *server) validate(w http.ResponseWriter, r *http.Request) {
	var req ValidateRequest
	if !readJSON(w, r, &req) {
		return
	}
	reply, err := s.backend.Validate(req.Tree)
	respond(w, reply, err)
}

func (s *server) history(w http.ResponseWriter, r *http.Request) {
	reply, err := s.backend.History(r.Context())
	respond(w, reply, err)
}

func (s *server) revision(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(chi.URLParam(r, "revision"), 10, 64)
	if err != nil {
		badRequest(w, "the revision is not a number", "use a revision listed by hickoryroute history")
		return
	}
	text, err := s.backend.RevisionText(r.Context(), revision)
	respond(w, ValidateRequest{Tree: text}, err)
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Status())
}

func (s *server) timeline(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Timeline())
}

func readJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		badRequest(w, fmt.Sprintf("the body is not valid JSON for this request: %v", err), "see docs/OPERATIONS.md for the format")
		return false
	}
	return true
}

func badRequest(w http.ResponseWriter, detail, remedy string) {
	protocol.NewProblem(http.StatusBadRequest, protocol.CodeBadRequest, "", detail, remedy).Write(w)
}

func respond(w http.ResponseWriter, reply any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, reply)
		return
	}
	var p *protocol.Problem
	if !errors.As(err, &p) {
		p = protocol.NewProblem(http.StatusInternalServerError, protocol.CodeInternal, "", err.Error(), "see the log of this VM")
	}
	p.Write(w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
