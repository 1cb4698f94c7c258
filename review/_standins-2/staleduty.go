package main

import (
	"errors"
	"fmt"
	"time"
)

// cutAfterOrder is the time from an order of the holder, which comes every 2.5 to 2.75 s, to the cut.
const cutAfterOrder = 2 * time.Second

// staleDuty cuts the machine that holds the duties off from the platform for 5.5 s, three times, and
// checks the rule ONE on the calls that the platform receives.
func staleDuty(w *world) error {
	c, err := newCloud(w)
	if err != nil {
		return err
	}
	w.configure(3, nil)
	for i, z := range zones {
		if _, err := w.addWorker(fmt.Sprintf("i-llm%d", i), llmService, z, nil); err != nil {
			return err
		}
		if _, err := w.addWorker(fmt.Sprintf("i-desk%d", i), deskService, z, nil); err != nil {
			return err
		}
	}
	if err := w.addNodes(3, c.address); err != nil {
		return err
	}
	w.steadyLoad(30)
	const cutTime = 5500 * time.Millisecond
	for _, at := range []float64{10, 25, 40} {
		w.sleepUntil(at)
		holder := w.nodeNamed(c.holder())
		if holder == nil {
			return errors.New("no machine has called the platform's API")
		}
		if !w.trouble {
			continue
		}
		c.awaitOrder(holder.name)
		time.Sleep(cutAfterOrder)
		w.say("CUT: %s loses its path to the platform", holder.name)
		holder.store.cut()
		holder.cloud.cut()
		time.Sleep(cutTime)
		holder.store.heal()
		holder.cloud.heal()
		w.say("HEALED: %s", holder.name)
	}
	w.sleepUntil(58)
	if n := c.brokenCount(); n > 0 {
		w.say("the rule ONE was broken %d times", n)
		return errBroken
	}
	return nil
}
