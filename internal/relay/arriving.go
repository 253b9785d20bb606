package relay

// defaultArrivingShare is the default of OwnerOptions.ArrivingShare.
const defaultArrivingShare = 0.5

// maxKeptBody is the size up to which a body has arrived completely at the sender before it asks for a slot, in bytes.
const maxKeptBody = 512 << 10

// beginArriving reports whether the request may use a slot, and counts it if its body is still arriving from the
// caller. Such requests may use a share of the slots, so that bodies which don't arrive leave the others free.
// endArriving must be called when it returns true.
func (e *execution) beginArriving() bool {
	if !e.isArriving() {
		return true
	}
	o := e.owner
	share := o.opts.ArrivingShare
	if share <= 0 {
		share = defaultArrivingShare
	}
	limit := max(1, int(share*float64(o.opts.Admission.Load().Slots)))
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.arriving >= limit {
		o.arrivingRefused++
		return false
	}
	o.arriving++
	return true
}

func (e *execution) endArriving() {
	if !e.isArriving() {
		return
	}
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()
	e.owner.arriving--
}

// isArriving reports whether the body of the request is still arriving from the caller. Without a dialect, a call runs
// while its body arrives.
func (e *execution) isArriving() bool {
	length := e.head.GetContentLength()
	return e.owner.opts.Dialect != nil && !e.head.GetComplete() && (length < 0 || length > maxKeptBody)
}

// FieldMemory is the memory of a header field besides its name and value, in bytes: its entries in the header maps of
// the ingress and the owner, and the message between them.
const FieldMemory = 400

// headSize returns the approximate size of the first message of the request, in bytes.
func (e *execution) headSize() int64 {
	size := len(e.head.GetBody()) + len(e.head.GetPath())
	for _, h := range e.head.GetHeaders() {
		size += FieldMemory + len(h.GetName()) + len(h.GetValue()) + len(h.GetRawValue())
	}
	return int64(size)
}

// ArrivingRefused returns how many requests were refused because too many slots were used by bodies that still arrived.
func (o *Owner) ArrivingRefused() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.arrivingRefused
}
