package place

import (
	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/catalog"
)

// Trim returns a server of each hall that holds more layers than usual for its
// card, with those that it should keep: the layers that it gives up are held by
// others of its hall. A server takes up more when another one is lost; once that
// one is replaced, the memory is better used for requests. Of all servers it
// takes the one after which the hall has most memory where it has least. A hall
// that lacks layers keeps what it has.
func Trim(m *catalog.Model, servers []Holder) []Holder {
	return eachHall(servers, func(hall []Holder) []Holder {
		copies := copiesIn(m, hall)
		if uncoveredIn(copies) > 0 {
			return nil
		}
		perLayer, ok := level(m, hall, max(1, Copies(m, hall)))
		if !ok {
			return nil
		}
		best, most := Holder{}, 1.0
		for _, s := range hall {
			card, _ := m.Card(s.Card)
			for _, r := range trimmed(s.Layers, max(1, layersAt(m, card, perLayer)), copies) {
				if gain := roomOf(m, card, r) / roomOf(m, card, s.Layers); gain > most {
					best, most = s, gain
					best.Layers = r
				}
			}
		}
		if best.ID == "" {
			return nil
		}

		return []Holder{best}
	})
}

// roomOf returns the memory that the card has for each layer of the range, in
// tokens.
func roomOf(m *catalog.Model, c catalog.Card, r slatebridge.LayerRange) float64 {
	return m.TokenLayers(c, r.Len()) / float64(max(1, r.Len()))
}

// trimmed returns what is left of the range without layers at one of its ends
// that another server holds as well, but no less than the usual number.
func trimmed(r slatebridge.LayerRange, usual int, copies []int) []slatebridge.LayerRange {
	low, high := r, r
	for low.Len() > usual && copies[low.From] > 1 {
		low.From++
	}
	for high.Len() > usual && copies[high.To-1] > 1 {
		high.To--
	}
	var out []slatebridge.LayerRange
	for _, t := range []slatebridge.LayerRange{low, high} {
		if t != r {
			out = append(out, t)
		}
	}

	return out
}
