package elect

import "testing"

// FuzzDecodeTerm: a record is a term with a token and a box, or none.
func FuzzDecodeTerm(f *testing.F) {
	f.Add([]byte(`{"token":7,"box":"b1","boot":"x"}`))
	f.Add([]byte(`{"token":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if v := decodeTerm(data, 9); v != (Term{}) && (v.Token <= 0 || v.Token > 9 || v.Box == "") {
			t.Errorf("%s gives %+v", data, v)
		}
	})
}
