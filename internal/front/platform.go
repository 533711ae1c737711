// The platform's interface: the stamped worker list, and the usage reports
// and leaving notices that workers send.

package front

import (
	"strconv"

	"fordseam/internal/base"
	"fordseam/internal/membership"
	"fordseam/internal/settings"
	"fordseam/internal/worker"

	"github.com/go-faster/jx"
)

func (f *Handler) planPlatform(r *Request, parts []string) (*plan, error) {
	switch r.Method + " " + shape(parts) {
	case "GET workers":
		return &plan{func(ctx *base.Ctx) (*Response, error) {
			list, err := f.Workers.List(ctx.Within(f.Bounds.Load().Recover))
			if err != nil {
				return nil, err
			}
			return answer(200, list), nil
		}}, nil
	case "GET settings":
		return &plan{func(*base.Ctx) (*Response, error) {
			return answer(200, map[string]uint64{"stamp": settings.VersionFromFeed(f.Follower.Snapshot().Values)}), nil
		}}, nil
	case "PUT workers":
		return f.planReplace(r)
	case "PATCH workers":
		return f.planPatch(r)
	case "POST workers/*/usage":
		return f.planUsage(r, parts[1])
	}
	return nil, unknownPath()
}

func readWorkers(into *[]worker.Worker) base.FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Array {
			return base.DeclineField(path, "must be a list")
		}
		*into = []worker.Worker{}
		return d.Arr(func(d *jx.Decoder) error {
			at := path + "[" + strconv.Itoa(len(*into)) + "]"
			raw, err := d.Raw()
			if err != nil {
				return err
			}
			var one worker.Worker
			capacity := 1.0
			err = base.ReadFields(raw, map[string]base.FieldReader{
				"id": base.Text(&one.ID, 128), "addr": base.Text(&one.Addr, 64), "pool": base.Text(&one.Pool, 128),
				"zone": base.Text(&one.Zone, 128), "incarnation": base.Text(&one.Incarnation, 128), "capacity": base.Number(&capacity, 1, 4096, true),
			})
			if v := base.VerdictIn(err); v != nil {
				v.Field = at + "." + v.Field
				return v
			}
			one.Capacity = int(capacity)
			*into = append(*into, one)
			return nil
		})
	}
}

func (f *Handler) planReplace(r *Request) (*plan, error) {
	var stamp float64
	var workers []worker.Worker
	err := base.ReadFields(r.Body, map[string]base.FieldReader{"stamp": base.Number(&stamp, 1, 1<<52, true), "workers": readWorkers(&workers)})
	switch {
	case err != nil:
		return nil, err
	case stamp == 0:
		return nil, base.DeclineField("stamp", "must be given")
	case workers == nil:
		return nil, base.DeclineField("workers", "must be given")
	}
	if err := worker.ValidateWorkers("workers", workers); err != nil {
		return nil, err
	}
	return f.changeList(func(ctx *base.Ctx) (*worker.List, error) {
		return f.Workers.Replace(ctx, worker.List{Stamp: uint64(stamp), Workers: workers})
	}), nil
}

func (f *Handler) planPatch(r *Request) (*plan, error) {
	var stamp float64
	var put []worker.Worker
	var remove []string
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"stamp": base.Number(&stamp, 1, 1<<52, true), "put": readWorkers(&put),
		"remove": func(path string, d *jx.Decoder) error {
			if d.Next() != jx.Array {
				return base.DeclineField(path, "must be a list")
			}
			return d.Arr(func(d *jx.Decoder) error {
				var id string
				err := base.Text(&id, 128)(path+"["+strconv.Itoa(len(remove))+"]", d)
				remove = append(remove, id)
				return err
			})
		}})
	if err != nil {
		return nil, err
	}
	if stamp == 0 {
		return nil, base.DeclineField("stamp", "must be given")
	}
	if err := worker.ValidateWorkers("put", put); err != nil {
		return nil, err
	}
	return f.changeList(func(ctx *base.Ctx) (*worker.List, error) {
		return f.Workers.Patch(ctx, worker.Patch{Stamp: uint64(stamp), Put: put, Remove: remove})
	}), nil
}

func (f *Handler) changeList(change func(ctx *base.Ctx) (*worker.List, error)) *plan {
	return &plan{func(ctx *base.Ctx) (*Response, error) {
		now, err := change(ctx.Within(f.Bounds.Load().Recover))
		if err != nil {
			return nil, err
		}
		return answer(200, now), nil
	}}
}

func (f *Handler) planUsage(r *Request, id string) (*plan, error) {
	var load, count float64
	usage := &membership.Usage{Worker: id}
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"load": base.Number(&load, 0, 1<<20, true), "number": base.Number(&count, 1, 1<<52, true),
		"incarnation": base.Text(&usage.Incarnation, 128), "leaving": base.Truth(&usage.Leaving),
	})
	if err != nil {
		return nil, err
	}
	if count == 0 {
		return nil, base.DeclineField("number", "must be given and rise with each report")
	}
	usage.Number, usage.Load = uint64(count), int64(load)
	return &plan{func(ctx *base.Ctx) (*Response, error) {
		if !f.UsageReports.Record(usage) {
			f.Counters.Add("usage_stale", 1)
			return answer(200, map[string]any{"taken": false}), nil
		}
		notice, marked := f.Picker.Roster().Leaving[id]
		if !usage.Leaving {
			f.Picker.ClearLeaving(id)
		}
		if usage.Leaving != marked || (marked && notice.Incarnation != usage.Incarnation) {
			err := f.Workers.SubmitNotice(ctx.Within(f.Bounds.Load().Recover), worker.Notice{Worker: id, Incarnation: usage.Incarnation,
				Leaving: usage.Leaving, Source: "report", Number: usage.Number})
			if err != nil {
				return nil, err
			}
		}
		return answer(200, map[string]any{"taken": true}), nil
	}}, nil
}
