package once

import (
	"bytes"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// FuzzDecodeBucket checks that no value of a bucket object makes the decoder panic, and
// that a decoded bucket is unchanged by encoding and decoding it again.
func FuzzDecodeBucket(f *testing.F) {
	o := Options{Node: "n"}.withDefaults()
	b := newBucket()
	e := newEntry(Claim{Key: Key{"w", "k"}, Attempt: "a", Deadline: time.Unix(9, 0)}, time.Unix(1, 0), &o)
	b.set(Key{"w", "k"}, e)
	b.set(Key{"w", "l"}, withState(e, finished, encodeAnswer(Answer{Status: 200, Body: []byte("x")}, 10), time.Unix(2, 0)))
	seed, err := b.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{8, 1, 18, 0, 18, 0})
	f.Fuzz(func(t *testing.T, value []byte) {
		b, err := decodeBucket(platformapi.Object{Value: value})
		if err != nil {
			return
		}
		first, err := b.encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeBucket(platformapi.Object{Value: first})
		if err != nil {
			t.Fatal(err)
		}
		second, err := again.encode()
		if err != nil || !bytes.Equal(first, second) || again.unfinished != b.unfinished || again.finishedBytes != b.finishedBytes {
			t.Errorf("encoded as %x, and as %x after decoding that (%v)", first, second, err)
		}
		b.fits(e, &o)
		b.expire(time.Unix(1<<33, 0), &o)
	})
}
