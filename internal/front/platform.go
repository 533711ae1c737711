package front

import (
	"strconv"

	"fordseam/internal/base"
	"fordseam/internal/membership"
	"fordseam/internal/settings"
	"fordseam/internal/worker"

	"github.com/go-faster/jx"
)

// parsePlatform parses requests of the platform: for the worker list, the stamp of
// the settings, and the usage reports and leaving notices of workers.
func (h *Handler) parsePlatform(r *Request, parts []string) (*action, error) {
	switch r.Method + " " + pathPattern(parts) {
	case "GET workers":
		return &action{func(ctx *base.Ctx) (*Response, error) {
			list, err := h.Workers.List(ctx.WithTimeout(h.Bounds.Load().Recovery))
			if err != nil {
				return nil, err
			}
			return jsonResponse(200, list), nil
		}}, nil
	case "GET settings":
		return &action{func(*base.Ctx) (*Response, error) {
			return jsonResponse(200, map[string]uint64{"stamp": settings.VersionFromFeed(h.Follower.Snapshot().Values)}), nil
		}}, nil
	case "PUT workers":
		return h.parseReplaceWorkers(r)
	case "PATCH workers":
		return h.parsePatchWorkers(r)
	case "POST workers/*/usage":
		return h.parseUsageReport(r, parts[1])
	}
	return nil, unknownPathError()
}

// readWorkers reads a list of workers.
func readWorkers(dst *[]worker.Worker) base.FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Array {
			return base.DeclineField(path, "must be a list")
		}
		*dst = []worker.Worker{}
		return d.Arr(func(d *jx.Decoder) error {
			elementPath := path + "[" + strconv.Itoa(len(*dst)) + "]"
			raw, err := d.Raw()
			if err != nil {
				return err
			}
			var parsed worker.Worker
			capacity := 1.0
			err = base.ReadFields(raw, map[string]base.FieldReader{
				"id": base.StringField(&parsed.ID, 128), "addr": base.StringField(&parsed.Addr, 64), "pool": base.StringField(&parsed.Pool, 128),
				"zone": base.StringField(&parsed.Zone, 128), "incarnation": base.StringField(&parsed.Incarnation, 128), "capacity": base.NumberField(&capacity, 1, 4096, true),
			})
			if requestErr := base.FindRequestError(err); requestErr != nil {
				requestErr.Field = elementPath + "." + requestErr.Field
				return requestErr
			}
			parsed.Capacity = int(capacity)
			*dst = append(*dst, parsed)
			return nil
		})
	}
}

func (h *Handler) parseReplaceWorkers(r *Request) (*action, error) {
	var stamp float64
	var workers []worker.Worker
	err := base.ReadFields(r.Body, map[string]base.FieldReader{"stamp": base.NumberField(&stamp, 1, 1<<52, true), "workers": readWorkers(&workers)})
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
	return h.changeWorkers(func(ctx *base.Ctx) (*worker.List, error) {
		return h.Workers.Replace(ctx, worker.List{Stamp: uint64(stamp), Workers: workers})
	}), nil
}

func (h *Handler) parsePatchWorkers(r *Request) (*action, error) {
	var stamp float64
	var put []worker.Worker
	var remove []string
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"stamp": base.NumberField(&stamp, 1, 1<<52, true), "put": readWorkers(&put),
		"remove": func(path string, d *jx.Decoder) error {
			if d.Next() != jx.Array {
				return base.DeclineField(path, "must be a list")
			}
			return d.Arr(func(d *jx.Decoder) error {
				var id string
				err := base.StringField(&id, 128)(path+"["+strconv.Itoa(len(remove))+"]", d)
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
	return h.changeWorkers(func(ctx *base.Ctx) (*worker.List, error) {
		return h.Workers.Patch(ctx, worker.Patch{Stamp: uint64(stamp), Put: put, Remove: remove})
	}), nil
}

// changeWorkers is the action of a change of the worker list.
func (h *Handler) changeWorkers(change func(ctx *base.Ctx) (*worker.List, error)) *action {
	return &action{func(ctx *base.Ctx) (*Response, error) {
		list, err := change(ctx.WithTimeout(h.Bounds.Load().Recovery))
		if err != nil {
			return nil, err
		}
		return jsonResponse(200, list), nil
	}}
}

// parseUsageReport parses a worker's usage report. A report that changes whether the
// worker is leaving also submits a notice to the worker list.
func (h *Handler) parseUsageReport(r *Request, id string) (*action, error) {
	var load, reportNumber float64
	usage := &membership.Usage{Worker: id}
	err := base.ReadFields(r.Body, map[string]base.FieldReader{
		"load": base.NumberField(&load, 0, 1<<20, true), "number": base.NumberField(&reportNumber, 1, 1<<52, true),
		"incarnation": base.StringField(&usage.Incarnation, 128), "leaving": base.BoolField(&usage.Leaving),
	})
	if err != nil {
		return nil, err
	}
	if reportNumber == 0 {
		return nil, base.DeclineField("number", "must be given and increase with each report")
	}
	usage.Number, usage.Load = uint64(reportNumber), int64(load)
	return &action{func(ctx *base.Ctx) (*Response, error) {
		if !h.UsageReports.Record(usage) {
			h.Counters.Add("usage_stale", 1)
			return jsonResponse(200, map[string]any{"taken": false}), nil
		}
		notice, markedLeaving := h.Picker.Roster().Leaving[id]
		if !usage.Leaving {
			h.Picker.ClearLeaving(id)
		}
		if usage.Leaving != markedLeaving || (markedLeaving && notice.Incarnation != usage.Incarnation) {
			err := h.Workers.SubmitNotice(ctx.WithTimeout(h.Bounds.Load().Recovery), worker.Notice{Worker: id, Incarnation: usage.Incarnation,
				Leaving: usage.Leaving, Source: "report", Number: usage.Number})
			if err != nil {
				return nil, err
			}
		}
		return jsonResponse(200, map[string]any{"taken": true}), nil
	}}, nil
}
