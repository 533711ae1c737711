package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// replacedStores retires one of four storage machines, and has another lose its
// disk right after. Later two storage machines are lost for good, one after the
// other, and an empty one comes for each.
func replacedStores(s *System, trouble bool) error {
	stores := s.Of("storage")
	const catchUp = 4100 * time.Millisecond
	status, err := s.Put(2, 1, Config(2, usualRoutes()), 4*time.Second)
	if err != nil || status != 200 {
		return fmt.Errorf("version 2: %d %v", status, err)
	}
	if err := s.retire(stores[3].Name, 10*time.Second); err != nil {
		return err
	}
	stores[3].Wipe() // it is removed with its disk
	stores[1].Wipe()
	time.Sleep(2 * time.Second)
	if err := stores[1].Start(false); err != nil {
		return err
	}
	s.Record.Say("%s is back with an empty disk", stores[1].Name)
	time.Sleep(catchUp + 4*time.Second)
	if trouble {
		for n, lost := range []*Machine{stores[1], stores[2]} {
			s.Record.Say("%s is lost for good", lost.Name)
			lost.Wipe()
			time.Sleep(2 * time.Second)
			successor := s.AddStore(5 + n)
			if err := successor.Start(false); err != nil {
				return err
			}
			s.Record.Say("%s comes for it, empty", successor.Name)
			time.Sleep(catchUp + time.Second)
		}
	} else {
		time.Sleep(2 * (catchUp + 3*time.Second))
	}
	// The operator asks for contact_ms at least, here for recovery_s.
	read := 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && read < 2; time.Sleep(200 * time.Millisecond) {
		read = s.readConfig()
	}
	turn := (&Ask{Path: "/talk/a", Body: "hello\n", Program: newID()[:6], Session: newID()[:6], Budget: 1000, Most: 16}).Send(s.Record, s.Of("edge")[0])
	s.Record.Say("a turn gets %v", turn)
	if read < 2 {
		s.Record.Break("CONFIG: version 2 was acknowledged; 12 s after the last machine came the configuration does not come (last read: %d)", read)
	}
	return nil
}

// Wipe ends a machine's process and takes its disk away.
func (m *Machine) Wipe() {
	m.Kill()
	_ = os.RemoveAll(filepath.Join(m.fleet.Dir, m.Name))
}

// AddStore is a storage machine of another name at another address.
func (f *Fleet) AddStore(n int) *Machine {
	m := &Machine{Name: fmt.Sprintf("storage-%d", n), Class: "storage", fleet: f, IP: fmt.Sprintf("127.%d.3.%d", f.octet, n), Zone: zones[(n-1)%len(zones)]}
	f.Machines = append(f.Machines, m)
	return m
}

// operate makes one call of the operator to each core in turn until one answers
// for good.
func (f *Fleet) operate(method, path, body string) (status int, said string) {
	for _, core := range f.Of("core") {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		request, err := http.NewRequest(method, "http://"+core.Control()+path, strings.NewReader(body))
		if err != nil {
			return 0, err.Error()
		}
		request.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(request)
		if err != nil {
			f.record.Say("operator %s %s at %s -> %v", method, path, core.Name, err)
			continue
		}
		raw, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		status, said = answer.StatusCode, strings.TrimSpace(string(raw))
		f.record.Say("operator %s %s at %s -> %d %.120s", method, path, core.Name, status, said)
		if status < 500 {
			return status, said
		}
	}
	return status, said
}

// retire has a storage machine emptied, and waits for that.
func (f *Fleet) retire(name string, limit time.Duration) error {
	path := "/fordseam/retire/" + name
	if status, said := f.operate("POST", path, `{"within_s":8}`); status != 200 {
		return fmt.Errorf("retire %s: %d %s", name, status, said)
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		var state struct{ State string }
		if _, said := f.operate("GET", path, ""); json.Unmarshal([]byte(said), &state) == nil && state.State == "complete" {
			return nil
		}
	}
	return fmt.Errorf("%s was not emptied within %s", name, limit)
}

// readConfig gives the version that is read back, 0 where none comes.
func (f *Fleet) readConfig() int {
	var read struct{ Generation int }
	status, said := f.operate("GET", "/fordseam/config", "")
	if status != 200 || json.Unmarshal([]byte(said), &read) != nil {
		return 0
	}
	return read.Generation
}
