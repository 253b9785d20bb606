package ingress

// Acceptance gives tests access to the memory of how many owners accept.
type Acceptance struct{ a acceptance }

// Note takes the answer of one owner.
func (a *Acceptance) Note(route string, accepted bool) { a.a.note(route, accepted) }

// Questions returns how many owners are asked.
func (a *Acceptance) Questions(route string) int { return a.a.questions(route) }
