package assign

import (
	"cmp"
	"slices"

	"github.com/slatebridge/slatebridge"
)

// AggregateDemands returns the demand of the model services for each model version, sorted by
// model.
func AggregateDemands(services []slatebridge.Service) []Demand {
	byModel := make(map[slatebridge.ModelVersion]*Demand)
	for _, s := range services {
		if s.Template.Kind != slatebridge.ModelService {
			continue
		}
		d := byModel[s.Instance.Model]
		if d == nil {
			d = &Demand{Model: s.Instance.Model, Layers: s.Template.Layers}
			byModel[s.Instance.Model] = d
		}
		d.add(s.Instance)
	}
	demands := make([]Demand, 0, len(byModel))
	for _, d := range byModel {
		slices.Sort(d.Adapters)
		demands = append(demands, *d)
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Compare(a.Model.String(), b.Model.String())
	})

	return demands
}

// add adds the weight and the adapter of the instance. The weight of an instance defaults to 1.
func (d *Demand) add(instance slatebridge.Instance) {
	weight := instance.Weight
	if weight == 0 {
		weight = 1
	}
	d.Weight += weight
	if instance.Adapter != "" && !slices.Contains(d.Adapters, instance.Adapter) {
		d.Adapters = append(d.Adapters, instance.Adapter)
	}
}
