package caller

import (
	"net/http"
	"slices"

	"github.com/lagoonhead/lagoonhead"
)

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func newModelObject(name string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: "lagoonhead"}
}

func (x *exchange) listModels() error {
	if err := x.loadAndAuthenticate(); err != nil {
		return err
	}
	l := modelList{Object: "list", Data: []modelObject{}}
	for _, m := range x.directory.Models() {
		l.Data = append(l.Data, newModelObject(m))
	}
	writeJSON(x.writer, http.StatusOK, l)
	return nil
}

func (x *exchange) getModel() error {
	if err := x.loadAndAuthenticate(); err != nil {
		return err
	}
	name := x.httpRequest.PathValue("model")
	if err := x.knownModel(name); err != nil {
		return err
	}
	writeJSON(x.writer, http.StatusOK, newModelObject(name))
	return nil
}

func (x *exchange) loadAndAuthenticate() error {
	if err := x.loadDirectory(); err != nil {
		return err
	}
	return x.authenticate()
}

func (x *exchange) knownModel(name string) error {
	if !slices.Contains(x.directory.Models(), name) {
		return refusal(http.StatusNotFound, lagoonhead.KindNotFound, "model_not_found", "there is no model %q", name)
	}
	return nil
}
