package main

import (
	"encoding/json"
	"time"
)

// startPlatform starts the store, in the given era, and the interface for duties.
func (w *world) startPlatform(era int) (err error) {
	if w.store, err = newStore(era); err != nil {
		return err
	}
	w.cloud, err = newCloud(w)
	return err
}

// publish writes a configuration as the operator does.
func (w *world) publish(c map[string]any) {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	w.store.put("keyed.op", "config", value)
	w.log("store accepts configuration %v", c["version"])
}

// startEntries starts entry instances in different zones and waits until they are ready.
func (w *world) startEntries(n int) ([]*entry, error) {
	zones := []string{"a", "b", "c", "d"}
	for i := range n {
		if _, err := w.addEntry(zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	for _, e := range w.entries {
		if err := e.startProcess(); err != nil {
			return nil, err
		}
	}
	for _, e := range w.entries {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	w.first = false
	return w.entries, nil
}
