package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commandline"
	"lilacvane/internal/fault"
	"lilacvane/internal/operator"
	"lilacvane/internal/tenant"
)

const stepKeys = "change keys"

type tenantCommand struct {
	List   tenantListCommand   `cmd:"" help:"Show tenants, their limits and use."`
	Add    tenantAddCommand    `cmd:"" help:"Add a key to a Tenant object; the key is shown this once."`
	Rotate tenantRotateCommand `cmd:"" help:"Add a key to a Tenant object and drop its oldest one."`
	Revoke tenantRevokeCommand `cmd:"" help:"Take a key from a Tenant object."`
}

type tenantListCommand struct {
	target
}

// Run prints the tenants.
func (c *tenantListCommand) Run(s commandline.Streams) error {
	tenants, err := c.client().Tenants(context.Background())
	if err != nil {
		return err
	}
	return c.print(s, tenants, func(w io.Writer) {
		fmt.Fprintln(w, "TENANT\tPRIORITY\tKEYS\tLIMIT\tASKED\tLENDERS")
		for _, t := range tenants {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%.4g/s\t%s\n", t.Name, t.Priority, t.Keys, formatLimit(t), t.AskedPerSecond, strings.Join(t.Lenders, ", "))
		}
	})
}

func formatLimit(t operator.TenantStatus) string {
	if t.Rate == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g %s/s + %.4g", t.Rate, t.Unit, t.Burst)
}

// keyTarget holds the arguments of commands that change a Tenant object's keys.
type keyTarget struct {
	target
	Name      string `arg:"" help:"Tenant."`
	Operation string `help:"Operation id; the same id asked again gives the first result."`
}

// change reads the Tenant object, applies a change to it and submits it.
func (k *keyTarget) change(s commandline.Streams, change func(*api.Tenant) error) error {
	ctx := context.Background()
	object, err := k.client().Get(ctx, api.KindTenant, k.Name)
	if fault.IsCode(err, fault.CodeNotFound) {
		return fault.New(fault.CodeNotFound, stepKeys, "there is no Tenant object %s; keys of other tenants are kept in the platform's configuration", k.Name)
	}
	if err != nil {
		return err
	}
	spec, err := api.Decode[api.Tenant](object)
	if err != nil {
		return err
	}
	if err := change(&spec); err != nil {
		return err
	}
	changed := api.NewObject(api.KindTenant, k.Name, spec)
	changed.Generation = object.Generation
	return submit(ctx, k.target, s, operator.Submission{Operation: operationID(k.Operation), Author: author(), Apply: []api.Object{changed}})
}

// addKey generates a key, adds its digest to the Tenant object and prints the key once
// the change has committed. before is applied to the object first.
func (k *keyTarget) addKey(s commandline.Streams, id string, before func(*api.Tenant) error) error {
	if id == "" {
		id = "key-" + time.Now().UTC().Format("20060102T150405")
	}
	key := rand.Text()
	err := k.change(s, func(spec *api.Tenant) error {
		if err := before(spec); err != nil {
			return err
		}
		spec.Keys = append(spec.Keys, api.TenantKey{ID: id, SHA256: tenant.DigestOf(key).String()})
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "key: %s\n", key)
	return nil
}

type tenantAddCommand struct {
	keyTarget
	ID string `help:"Name of the key; without one it is named by the time."`
}

// Run adds a key.
func (c *tenantAddCommand) Run(s commandline.Streams) error {
	return c.addKey(s, c.ID, func(*api.Tenant) error { return nil })
}

type tenantRotateCommand struct {
	keyTarget
	ID string `help:"Name of the new key; without one it is named by the time."`
}

// Run adds a key and removes the oldest one.
func (c *tenantRotateCommand) Run(s commandline.Streams) error {
	return c.addKey(s, c.ID, func(spec *api.Tenant) error {
		if len(spec.Keys) == 0 {
			return fault.New(fault.CodeInvalid, stepKeys, "%s has no key to replace; add one", c.Name)
		}
		spec.Keys = spec.Keys[1:]
		return nil
	})
}

type tenantRevokeCommand struct {
	keyTarget
	ID string `arg:"" help:"Name of the key."`
}

// Run removes a key.
func (c *tenantRevokeCommand) Run(s commandline.Streams) error {
	return c.change(s, func(spec *api.Tenant) error {
		before := len(spec.Keys)
		spec.Keys = slices.DeleteFunc(spec.Keys, func(key api.TenantKey) bool { return key.ID == c.ID })
		if len(spec.Keys) == before {
			return fault.New(fault.CodeNotFound, stepKeys, "%s has no key %s", c.Name, c.ID)
		}
		return nil
	})
}
