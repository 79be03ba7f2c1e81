package cluster

import (
	"encoding/json"
	"time"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/config"
	"github.com/slatebridge/slatebridge/operator"
)

// Names and sizes of the objects that PublishServices publishes.
const (
	Account    = "store"
	ChatName   = "assistant"
	RefundName = "refunds"
	LayerCount = 16
)

// Model returns the model version of the chat service.
func Model() slatebridge.ModelVersion {
	return slatebridge.ModelVersion{Model: "isle", Version: "1"}
}

// PublishServices publishes a client account with a chat service and a plain service.
func (f *Cluster) PublishServices(deduplication slatebridge.Deduplication) error {
	timeout := slatebridge.Duration(30 * time.Second)

	return f.Publish([]operator.Change{
		PutChange(config.TemplateObject, "chat", slatebridge.Template{
			Name: "chat", Kind: slatebridge.ModelService, Deduplication: slatebridge.Idempotent, Layers: LayerCount, Timeout: timeout,
		}),
		PutChange(config.TemplateObject, "refund", slatebridge.Template{
			Name: "refund", Kind: slatebridge.PlainService, Deduplication: deduplication, Timeout: timeout,
		}),
		PutChange(config.AccountObject, Account, slatebridge.Account{Name: Account, RequestsPerSecond: 1000, MaxConcurrency: 1000}),
		PutChange(config.InstanceObject, Account+"/"+ChatName, slatebridge.Instance{
			Name: ChatName, Account: Account, Template: "chat", Model: Model(),
		}),
		PutChange(config.InstanceObject, Account+"/"+RefundName, slatebridge.Instance{
			Name: RefundName, Account: Account, Template: "refund",
		}),
	})
}

// PutChange returns a change that creates or replaces an object.
func PutChange[T any](kind config.ObjectKind, name string, v T) operator.Change {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}

	return operator.Change{ObjectID: config.ObjectID{Kind: kind, Name: name}, Value: data}
}
