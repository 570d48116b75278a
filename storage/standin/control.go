package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

// faultsDocument is fault.State on the control endpoint.
type faultsDocument struct {
	Down        bool   `json:"down"`
	Delay       string `json:"delay"`
	Throttled   int    `json:"throttled"`
	LostAnswers int    `json:"lost-answers"`
	LostWrites  int    `json:"lost-writes"`
	Stale       bool   `json:"stale"`
}

func newFaultsDocument(s fault.State) faultsDocument {
	return faultsDocument{
		Down:        s.Down,
		Delay:       s.Delay.String(),
		Throttled:   s.Throttled,
		LostAnswers: s.LostAnswers,
		LostWrites:  s.LostWrites,
		Stale:       s.Stale,
	}
}

func (d faultsDocument) state() (fault.State, error) {
	delay := time.Duration(0)
	if d.Delay != "" {
		var err error
		if delay, err = time.ParseDuration(d.Delay); err != nil {
			return fault.State{}, errors.Wrap(err, "delay")
		}
	}
	if delay < 0 || d.Throttled < 0 || d.LostAnswers < 0 || d.LostWrites < 0 {
		return fault.State{}, errors.New("a negative fault")
	}
	return fault.State{
		Down:        d.Down,
		Delay:       delay,
		Throttled:   d.Throttled,
		LostAnswers: d.LostAnswers,
		LostWrites:  d.LostWrites,
		Stale:       d.Stale,
	}, nil
}

// controlHandler serves the control endpoint:
//
//	GET /control/faults/{service}   the faults of table, objects or host-list
//	PUT /control/faults/{service}   switches these faults on and all others off
//	PUT /control/hosts              replaces the entries of the host list
func (s *Standin) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/faults/{service}", s.getFaults)
	mux.HandleFunc("PUT /control/faults/{service}", s.putFaults)
	mux.HandleFunc("PUT /control/hosts", s.putHosts)
	return mux
}

// faultsOf returns the faults of a service, or nil for an unknown one.
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
		http.Error(w, "the services are table, objects and host-list", http.StatusNotFound)
		return
	}
	answerJSON(w, newFaultsDocument(faults.State()))
}

func (s *Standin) putFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.faultsOf(r.PathValue("service"))
	if faults == nil {
		http.Error(w, "the services are table, objects and host-list", http.StatusNotFound)
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
	answerJSON(w, newFaultsDocument(state))
}

func (s *Standin) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []storage.ListedHost
	if readJSON(w, r, &hosts) {
		s.store.SetHosts(hosts)
		answerJSON(w, hosts)
	}
}

// readJSON decodes a request's body strictly; on a fault it answers and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveHostList answers the host list; a stale one keeps its entries and its
// age.
func (s *Standin) serveHostList(w http.ResponseWriter, r *http.Request) {
	if meet(&s.HostList, r, fault.Read) == rejectThrottled {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	s.store.Faults.Stale(s.HostList.State().Stale)
	listing, err := s.store.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if listing.Hosts == nil {
		listing.Hosts = []storage.ListedHost{}
	}
	answerJSON(w, listing)
}
