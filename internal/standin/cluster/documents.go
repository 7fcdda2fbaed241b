package cluster

// Access to documents of the store and to the instance list, for tests that replace them by invalid or unusual ones.

import (
	"context"
	"net/http"

	"github.com/medlarlatch/medlarlatch/internal/coordination"
)

// Document returns the value of a key in the store.
func (c *Cluster) Document(ctx context.Context, key string) (string, error) {
	found, err := c.store.Get(ctx, key)
	return string(found.Text), err
}

// PutDocument replaces the value of a key in the store, valid or not, and returns the new revision.
func (c *Cluster) PutDocument(ctx context.Context, key, text string) (uint64, error) {
	current, err := c.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return c.store.CompareAndSwap(ctx, key, []byte(text), current.Revision)
}

// InstanceList returns the content of the instance list.
func (c *Cluster) InstanceList(ctx context.Context) ([]coordination.Instance, error) {
	var listed coordination.InstanceList
	err := c.callJSON(ctx, http.MethodGet, "http://"+c.addresses.Instances+"/v1/instances", nil, &listed)
	return listed.Instances, err
}

// SetInstanceList replaces the content of the instance list, valid or not.
func (c *Cluster) SetInstanceList(ctx context.Context, instances []coordination.Instance) error {
	return c.callJSON(ctx, http.MethodPut, "http://"+c.addresses.Instances+"/control/instances", coordination.InstanceList{Instances: instances}, nil)
}
