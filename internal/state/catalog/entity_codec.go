package catalog

import "snipetack/internal/state/wire"

func encodeOp(e *wire.Encoder, o Op) {
	switch {
	case o.Account != nil:
		e.Record(opAccount, func(e *wire.Encoder) { encodeAccount(e, *o.Account) })
	case o.Key != nil:
		e.Record(opKey, func(e *wire.Encoder) { encodeKey(e, *o.Key) })
	case o.Route != nil:
		e.Record(opRoute, func(e *wire.Encoder) { encodeRoute(e, *o.Route) })
	case o.Service != nil:
		e.Record(opService, func(e *wire.Encoder) { encodeService(e, *o.Service) })
	case o.Upstream != nil:
		e.Record(opUpstream, func(e *wire.Encoder) { encodeUpstream(e, *o.Upstream) })
	case o.Operator != nil:
		e.Record(opOperator, func(e *wire.Encoder) { encodeOperator(e, *o.Operator) })
	case o.Answers != nil:
		e.Record(opAnswers, func(e *wire.Encoder) { encodeAnswers(e, *o.Answers) })
	case o.Withdraw != "":
		e.Text(opWithdraw, o.Withdraw)
	case o.Delete != nil:
		e.Record(opDelete, func(e *wire.Encoder) {
			e.Text(1, string(o.Delete.Table))
			e.Text(2, o.Delete.Name)
		})
	default:
		for _, s := range o.Shards {
			e.Record(opShard, func(e *wire.Encoder) { encodeShard(e, s) })
		}
	}
}

func decodeOp(d *wire.Decoder) (Op, error) {
	var o Op
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case opAccount:
			o.Account = decodeRecord(d, decodeAccount)
		case opKey:
			o.Key = decodeRecord(d, decodeKey)
		case opRoute:
			o.Route = decodeRecord(d, decodeRoute)
		case opService:
			o.Service = decodeRecord(d, decodeService)
		case opUpstream:
			o.Upstream = decodeRecord(d, decodeUpstream)
		case opOperator:
			o.Operator = decodeRecord(d, decodeOperator)
		case opAnswers:
			o.Answers = decodeRecord(d, decodeAnswers)
		case opWithdraw:
			o.Withdraw = d.Text()
		case opShard:
			o.Shards = append(o.Shards, *decodeRecord(d, decodeShard))
		case opDelete:
			o.Delete = decodeRecord(d, decodeDeletion)
		}
	}
	return o, d.Err()
}

// decodeRecord decodes the current field, a nested record, with f. A failure becomes d's error.
func decodeRecord[T any](d *wire.Decoder, f func(*wire.Decoder) T) *T {
	n := d.Record()
	v := f(n)
	d.Fail(n.Err())
	return &v
}

func decodeDeletion(d *wire.Decoder) Deletion {
	var v Deletion
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Table = Table(d.Text())
		case 2:
			v.Name = d.Text()
		}
	}
	return v
}

func encodeShard(e *wire.Encoder, v ShardRange) {
	e.Uint(1, v.From)
	e.Uint(2, v.To)
	e.Uint(3, uint64(v.Group))
}

func decodeShard(d *wire.Decoder) ShardRange {
	var v ShardRange
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.From = d.Uint()
		case 2:
			v.To = d.Uint()
		case 3:
			v.Group = uint32(d.Uint())
		}
	}
	return v
}

func encodeAccount(e *wire.Encoder, v Account) {
	e.Text(1, v.Name)
	e.Float(2, v.Rate)
	e.Int(3, int64(v.Burst))
	e.Float(4, v.BatchRate)
	e.Int(5, int64(v.BatchBurst))
	e.Float(6, v.Weight)
	e.Duration(7, v.ResendWindow)
}

func decodeAccount(d *wire.Decoder) Account {
	var v Account
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			v.Rate = d.Float()
		case 3:
			v.Burst = int(d.Int())
		case 4:
			v.BatchRate = d.Float()
		case 5:
			v.BatchBurst = int(d.Int())
		case 6:
			v.Weight = d.Float()
		case 7:
			v.ResendWindow = d.Duration()
		}
	}
	return v
}

func encodeKey(e *wire.Encoder, v Key) {
	e.Text(1, v.ID)
	e.Text(2, v.Account)
	e.Bytes(3, v.Digest[:])
	e.Time(4, v.IssuedAt)
	e.Time(5, v.ExpiresAt)
	e.Bool(6, v.Withdrawn)
}

func decodeKey(d *wire.Decoder) Key {
	var v Key
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.ID = d.Text()
		case 2:
			v.Account = d.Text()
		case 3:
			copy(v.Digest[:], d.Bytes())
		case 4:
			v.IssuedAt = d.Time()
		case 5:
			v.ExpiresAt = d.Time()
		case 6:
			v.Withdrawn = d.Bool()
		}
	}
	return v
}

func encodeRoute(e *wire.Encoder, v Route) {
	e.Text(1, v.Name)
	e.Text(2, v.PathPrefix)
	e.Text(3, v.Service)
	e.Bool(4, v.Open)
	e.Bool(5, v.Repeatable)
	e.Texts(6, v.Accounts)
}

func decodeRoute(d *wire.Decoder) Route {
	var v Route
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			v.PathPrefix = d.Text()
		case 3:
			v.Service = d.Text()
		case 4:
			v.Open = d.Bool()
		case 5:
			v.Repeatable = d.Bool()
		case 6:
			v.Accounts = append(v.Accounts, d.Text())
		}
	}
	return v
}

func encodeService(e *wire.Encoder, v Service) {
	e.Text(1, v.Name)
	e.Text(2, string(v.Kind))
	e.Texts(3, v.Models)
	e.Duration(4, v.ProgressTimeout)
	e.Duration(5, v.Deadline)
	e.Int(6, int64(v.QueueLimit))
	for _, a := range v.Artifacts {
		e.Record(7, func(e *wire.Encoder) {
			e.Text(1, a.Name)
			e.Int(2, a.Size)
		})
	}
}

func decodeService(d *wire.Decoder) Service {
	var v Service
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			v.Kind = ServiceKind(d.Text())
		case 3:
			v.Models = append(v.Models, d.Text())
		case 4:
			v.ProgressTimeout = d.Duration()
		case 5:
			v.Deadline = d.Duration()
		case 6:
			v.QueueLimit = int(d.Int())
		case 7:
			v.Artifacts = append(v.Artifacts, *decodeRecord(d, decodeArtifact))
		}
	}
	return v
}

func decodeArtifact(d *wire.Decoder) Artifact {
	var v Artifact
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			v.Size = d.Int()
		}
	}
	return v
}

func encodeUpstream(e *wire.Encoder, v Upstream) {
	e.Text(1, v.Name)
	e.Text(2, v.Service)
	e.Text(3, v.Address)
	e.Text(4, v.DataCentre)
	e.Int(5, int64(v.Slots))
	e.Bool(6, v.ChecksFencing)
	e.Bool(7, v.Leaving)
	e.Int(8, v.Memory)
	e.Text(9, v.Role)
}

func decodeUpstream(d *wire.Decoder) Upstream {
	var v Upstream
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			v.Service = d.Text()
		case 3:
			v.Address = d.Text()
		case 4:
			v.DataCentre = d.Text()
		case 5:
			v.Slots = int(d.Int())
		case 6:
			v.ChecksFencing = d.Bool()
		case 7:
			v.Leaving = d.Bool()
		case 8:
			v.Memory = d.Int()
		case 9:
			v.Role = d.Text()
		}
	}
	return v
}

func encodeOperator(e *wire.Encoder, v Operator) {
	e.Text(1, v.Name)
	e.Bytes(2, v.Digest[:])
}

func decodeOperator(d *wire.Decoder) Operator {
	var v Operator
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			copy(v.Digest[:], d.Bytes())
		}
	}
	return v
}

func encodeAnswers(e *wire.Encoder, v Answers) {
	e.Text(1, v.Team)
	e.Bytes(2, v.Document)
}

func decodeAnswers(d *wire.Decoder) Answers {
	var v Answers
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Team = d.Text()
		case 2:
			v.Document = append([]byte(nil), d.Bytes()...)
		}
	}
	return v
}
