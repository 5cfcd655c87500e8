package origin

// Running is the streams that run on an entry VM; a stream may have several responses at once, as its caller may take it up before the VM notices
// that the former connection is lost. It is not safe for concurrent use.
type Running struct {
	streams map[Key]run
}

// run is a stream that runs.
type run struct {
	origin    Origin
	responses int
}

// NewRunning returns a Running without streams.
func NewRunning() *Running { return &Running{streams: map[Key]run{}} }

// Begin records that a response with a stream begins.
func (r *Running) Begin(k Key, o Origin) {
	r.streams[k] = run{origin: o, responses: r.streams[k].responses + 1}
}

// End records that a response with a stream has ended.
func (r *Running) End(k Key) {
	x := r.streams[k]
	x.responses--
	if x.responses <= 0 {
		delete(r.streams, k)
		return
	}
	r.streams[k] = x
}

// Streams returns the streams that run.
func (r *Running) Streams() []Begun {
	l := make([]Begun, 0, len(r.streams))
	for k, x := range r.streams {
		l = append(l, Begun{Key: k, Origin: x.origin})
	}
	return l
}
