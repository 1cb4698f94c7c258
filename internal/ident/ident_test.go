package ident

import (
	"encoding/json"
	"testing"
)

func TestClassTextRoundTrip(t *testing.T) {
	for _, c := range append([]Class{ClassUnknown}, Classes...) {
		raw, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var parsed Class
		if err := json.Unmarshal(raw, &parsed); err != nil || parsed != c || string(raw) != `"`+c.String()+`"` {
			t.Errorf("class %s was encoded as %s and decoded as %s, error %v", c, raw, parsed, err)
		}
	}
	var c Class
	if err := json.Unmarshal([]byte(`"gold"`), &c); err == nil {
		t.Error("an unknown class was accepted")
	}
}
