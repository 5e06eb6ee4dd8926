package fleet

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// UnmarshalJSON decodes d. It leaves out each entry that has a value of another type or out
// of range, and counts it in Unreadable: the others hold.
func (d *Delta) UnmarshalJSON(b []byte) error {
	type plain Delta
	var p plain
	err := json.Unmarshal(b, &p)
	if !isMismatch(err) {
		*d = Delta(p)
		return err
	}
	p = plain{}
	entries := struct {
		*plain
		Servers, Instances, Removals, Suspects, Rollouts []json.RawMessage
	}{plain: &p}
	if err := json.Unmarshal(b, &entries); err != nil {
		return err
	}
	p.Servers = readableOf[Server](entries.Servers, &p.Unreadable)
	p.Instances = readableOf[Instance](entries.Instances, &p.Unreadable)
	p.Removals = readableOf[Removal](entries.Removals, &p.Unreadable)
	p.Suspects = readableOf[Suspect](entries.Suspects, &p.Unreadable)
	p.Rollouts = readableOf[Rollout](entries.Rollouts, &p.Unreadable)
	*d = Delta(p)
	return nil
}

// UnmarshalJSON decodes d. It leaves out each entry that has a value of another type or out
// of range: a replica that applies the log has left it out, too.
func (d *data) UnmarshalJSON(b []byte) error {
	type plain data
	var p plain
	err := json.Unmarshal(b, &p)
	if !isMismatch(err) {
		*d = data(p)
		return err
	}
	p = plain{}
	entries := struct {
		*plain
		Servers, Instances, Rollouts map[string]json.RawMessage
		Removals, Suspects           []json.RawMessage
	}{plain: &p}
	if err := json.Unmarshal(b, &entries); err != nil {
		return err
	}
	unreadable := 0
	p.Servers = readableByName[Server](entries.Servers)
	p.Instances = readableByName[Instance](entries.Instances)
	p.Rollouts = readableByName[Rollout](entries.Rollouts)
	p.Removals = readableOf[Removal](entries.Removals, &unreadable)
	p.Suspects = readableOf[Suspect](entries.Suspects, &unreadable)
	*d = data(p)
	return nil
}

// isMismatch reports whether err is that of JSON which has a value of another type or out of
// range.
func isMismatch(err error) bool {
	var mismatch *json.UnmarshalTypeError
	return errors.As(err, &mismatch)
}

// readableOf returns the entries that can be decoded, and adds the number of the others to
// unreadable.
func readableOf[T any](entries []json.RawMessage, unreadable *int) []T {
	var list []T
	for _, e := range entries {
		var v T
		if json.Unmarshal(e, &v) != nil {
			*unreadable++
			continue
		}
		list = append(list, v)
	}
	return list
}

// readableByName returns the entries that can be decoded.
func readableByName[T any](entries map[string]json.RawMessage) map[string]T {
	m := make(map[string]T, len(entries))
	for name, e := range entries {
		var v T
		if json.Unmarshal(e, &v) == nil {
			m[name] = v
		}
	}
	return m
}
