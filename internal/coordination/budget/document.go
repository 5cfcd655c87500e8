package budget

// Shape counts what determines the memory that a JSON document takes when it is decoded.
type Shape struct {
	Objects  int
	Fields   int // of objects, beyond the first of each
	Elements int // of arrays, beyond the first of each
}

// ShapeOf returns the shape of a document, which need not be valid.
func ShapeOf(b []byte) Shape {
	var s Shape
	var open []byte // containers
	quoted := false
	for i := 0; i < len(b); i++ {
		switch x := b[i]; {
		case quoted && x == '\\':
			i++
		case x == '"':
			quoted = !quoted
		case quoted:
		case x == '{' || x == '[':
			open = append(open, x)
			if x == '{' {
				s.Objects++
			}
		case x == '}' || x == ']':
			open = open[:max(0, len(open)-1)]
		case x == ',' && len(open) > 0 && open[len(open)-1] == '{':
			s.Fields++
		case x == ',':
			s.Elements++
		}
	}
	return s
}
