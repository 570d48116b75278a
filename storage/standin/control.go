package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

// faultsDocument is the JSON form of fault.State at the control endpoint.
type faultsDocument struct {
	Down          bool   `json:"down"`
	Delay         string `json:"delay"`
	Throttled     int    `json:"throttled"`
	LostResponses int    `json:"lost-answers"`
	LostWrites    int    `json:"lost-writes"`
	Stale         bool   `json:"stale"`
}

func newFaultsDocument(s fault.State) faultsDocument {
	return faultsDocument{
		Down:          s.Down,
		Delay:         s.Delay.String(),
		Throttled:     s.Throttled,
		LostResponses: s.LostResponses,
		LostWrites:    s.LostWrites,
		Stale:         s.Stale,
	}
}

// state returns the faults that the document describes. An empty delay means no
// delay.
func (d faultsDocument) state() (fault.State, error) {
	delay := time.Duration(0)
	if d.Delay != "" {
		var err error
		if delay, err = time.ParseDuration(d.Delay); err != nil {
			return fault.State{}, errors.Wrap(err, "parse delay")
		}
	}
	if delay < 0 || d.Throttled < 0 || d.LostResponses < 0 || d.LostWrites < 0 {
		return fault.State{}, errors.New("delay and counts must not be negative")
	}
	return fault.State{
		Down:          d.Down,
		Delay:         delay,
		Throttled:     d.Throttled,
		LostResponses: d.LostResponses,
		LostWrites:    d.LostWrites,
		Stale:         d.Stale,
	}, nil
}

// controlHandler serves the control endpoint:
//
//	GET /control/faults/{service}   returns the faults of table, objects or host-list
//	PUT /control/faults/{service}   switches on the given faults and switches off all others
//	PUT /control/hosts              replaces the entries of the host list
func (s *Standin) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/faults/{service}", s.getFaults)
	mux.HandleFunc("PUT /control/faults/{service}", s.putFaults)
	mux.HandleFunc("PUT /control/hosts", s.putHosts)
	return mux
}

// faultsOf returns the faults of a service, or nil if there is no such service.
func (s *Standin) faultsOf(service string) *fault.Set {
	switch service {
	case "table":
		return &s.Table
	case "objects":
		return &s.Objects
	case "host-list":
		return &s.HostList
	default:
		return nil
	}
}

func (s *Standin) getFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.faultsOf(r.PathValue("service"))
	if faults == nil {
		http.Error(w, "unknown service: must be table, objects or host-list", http.StatusNotFound)
		return
	}
	writeJSON(w, newFaultsDocument(faults.State()))
}

func (s *Standin) putFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.faultsOf(r.PathValue("service"))
	if faults == nil {
		http.Error(w, "unknown service: must be table, objects or host-list", http.StatusNotFound)
		return
	}
	var document faultsDocument
	if !readJSON(w, r, &document) {
		return
	}
	state, err := document.state()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults.Replace(state)
	writeJSON(w, newFaultsDocument(state))
}

func (s *Standin) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []storage.ListedHost
	if readJSON(w, r, &hosts) {
		s.store.SetHosts(hosts)
		writeJSON(w, hosts)
	}
}

// readJSON decodes the body of a request and rejects unknown fields. If it fails,
// it sends the error response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveHostList serves the host list. While the stale fault is switched on, the
// entries and the "as-of" time don't change.
func (s *Standin) serveHostList(w http.ResponseWriter, r *http.Request) {
	if applyFaults(&s.HostList, r, fault.Read) == rejectThrottled {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	s.store.Faults.SetStale(s.HostList.State().Stale)
	listing, err := s.store.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if listing.Hosts == nil {
		listing.Hosts = []storage.ListedHost{}
	}
	writeJSON(w, listing)
}
