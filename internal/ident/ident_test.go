package ident

import (
	"encoding/json"
	"testing"
)

func TestClassAsText(t *testing.T) {
	for _, c := range append([]Class{ClassUnknown}, Classes...) {
		raw, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var back Class
		if err := json.Unmarshal(raw, &back); err != nil || back != c || string(raw) != `"`+c.String()+`"` {
			t.Errorf("class %s as %s became %s, error %v", c, raw, back, err)
		}
	}
	var c Class
	if err := json.Unmarshal([]byte(`"gold"`), &c); err == nil {
		t.Error("an unknown class was taken")
	}
}
