package gateway

import (
	"net/http"
	"sort"

	"snipetack/internal/protocol/reply"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	if _, _, err := g.Authenticate(r); err != nil {
		reply.Failure(w, err)
		return
	}
	l := modelList{Object: "list", Data: []modelEntry{}}
	for _, s := range g.d.Copy.Current().Services {
		for _, m := range s.Models {
			l.Data = append(l.Data, modelEntry{ID: m, Object: "model", OwnedBy: s.Name})
		}
	}
	sort.Slice(l.Data, func(i, j int) bool { return l.Data[i].ID < l.Data[j].ID })
	reply.JSON(w, http.StatusOK, l)
}
