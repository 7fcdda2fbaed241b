package cluster

// What the platform may give that the product must refuse or survive.

import (
	"context"
	"net/http"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
)

// Document returns the text of a key of the store.
func (c *Cluster) Document(ctx context.Context, key string) (string, error) {
	found, err := c.store.Get(ctx, key)
	return string(found.Text), err
}

// PutDocument replaces the text of a key of the store, whatever it is, and returns its revision.
func (c *Cluster) PutDocument(ctx context.Context, key, text string) (uint64, error) {
	current, err := c.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return c.store.CompareAndSwap(ctx, key, []byte(text), current.Revision)
}

// Listed returns the lines of the instance list.
func (c *Cluster) Listed(ctx context.Context) ([]coordination.Instance, error) {
	var listed coordination.InstanceList
	err := c.call(ctx, http.MethodGet, "http://"+c.addresses.Instances+"/v1/instances", nil, &listed)
	return listed.Instances, err
}

// SetList replaces the lines of the instance list, whatever they are.
func (c *Cluster) SetList(ctx context.Context, lines []coordination.Instance) error {
	return c.call(ctx, http.MethodPut, "http://"+c.addresses.Instances+"/control/instances", coordination.InstanceList{Instances: lines}, nil)
}
