package engine

// Order is an instruction to load or unload a model or adapter, or to change the engine's role.
type Order struct {
	Fence  uint64 // fencing number of the leader that sent the order
	Action string // load, unload, role
	Target string // a model, adapter or role
}

// executeOrder records an order as executed. It returns false, and executes nothing, when the engine checks
// fencing numbers and has accepted a higher one.
func (e *Engine) executeOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && o.Fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.orders = append(e.orders, o)
	return true
}

// Orders returns the executed orders so far, in order of arrival.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}
