// Package grants commits the decisions which runners may hold replicas of a
// unit. The number of items of a grant is the number of replicas decided; an
// item leaves only after its runner confirmed that it holds nothing under it.
package grants

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
)

// Committer commits operations and takes them into force at this node.
type Committer interface {
	Apply(ctx context.Context, operation commit.Operation) (commit.Result, error)
}

// Writer commits changes of grants. It keeps no state.
type Writer struct {
	committer Committer
	catalog   *catalog.Catalog
	node      string
}

// NewWriter returns a writer that signs as node.
func NewWriter(committer Committer, c *catalog.Catalog, node string) *Writer {
	return &Writer{committer: committer, catalog: c, node: node}
}

// Add grants a unit to more runners. The commit is refused if the grant or the
// number of replicas that operators decided has changed since unit was read.
func (w *Writer) Add(ctx context.Context, unit catalog.Unit, items []api.GrantItem) error {
	if len(unit.Grant.Items)+len(items) > unit.Replicas {
		return fault.New(fault.CodeInvalid, "add grant", "%s: %d more items would exceed %d replicas", unit.Name, len(items), unit.Replicas)
	}
	generation := max(unit.GrantGeneration, w.catalog.Revision()) + 1
	grant := api.Grant{Items: append([]api.GrantItem(nil), unit.Grant.Items...)}
	for _, item := range items {
		item.Generation = generation
		grant.Items = append(grant.Items, item)
	}
	return w.write(ctx, unit, grant, true)
}

// Revoke marks items to be taken back.
func (w *Writer) Revoke(ctx context.Context, unit catalog.Unit, items []api.GrantItem) error {
	revoking := make(map[string]struct{}, len(items))
	for _, item := range items {
		revoking[item.Runner] = struct{}{}
	}
	grant := api.Grant{Items: append([]api.GrantItem(nil), unit.Grant.Items...)}
	for index, item := range grant.Items {
		if _, marked := revoking[item.Runner]; marked {
			grant.Items[index].Revoking = true
		}
	}
	return w.write(ctx, unit, grant, false)
}

// Remove takes an item away whose runner confirmed that it holds nothing under
// it, or whose incarnation the platform confirmed to be gone.
func (w *Writer) Remove(ctx context.Context, name string, gone api.GrantItem) error {
	unit, known := w.catalog.Unit(name)
	if !known {
		return nil
	}
	var grant api.Grant
	for _, item := range unit.Grant.Items {
		same := item.Runner == gone.Runner && item.Generation == gone.Generation
		if !same {
			grant.Items = append(grant.Items, item)
		}
	}
	if len(grant.Items) == len(unit.Grant.Items) {
		return nil
	}
	return w.write(ctx, unit, grant, false)
}

func (w *Writer) write(ctx context.Context, unit catalog.Unit, grant api.Grant, requireDecision bool) error {
	spec, err := json.Marshal(grant)
	if err != nil {
		return fault.From(err, "encode grant")
	}
	change := commit.Change{
		Key: api.Key{Kind: api.KindGrant, Name: unit.Name}, Expected: unit.GrantGeneration, Spec: spec,
		Delete: unit.Deleted && len(grant.Items) == 0,
	}
	operation := commit.Operation{ID: "grant-" + rand.Text(), Author: w.node, Changes: []commit.Change{change}}
	if requireDecision {
		operation.Requires = append(operation.Requires, w.decision(unit))
	}
	_, err = w.committer.Apply(ctx, operation)
	return err
}

// decision demands that the object that states the number of replicas is the one
// this node has seen.
func (w *Writer) decision(unit catalog.Unit) commit.Requirement {
	kind := api.KindModel
	if unit.Base != "" {
		kind = api.KindAdapter
	}
	object, _ := w.catalog.Get(kind, unit.Name)
	return commit.Requirement{Key: api.Key{Kind: kind, Name: unit.Name}, Generation: object.Generation}
}
