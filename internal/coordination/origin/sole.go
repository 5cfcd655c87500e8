package origin

// Sole returns the origin of a stream that none of the answers knows: the only version that its service has had, if at least one answer names
// it and no answer contradicts. It takes the word of other VMs, because one that has missed the newest lists can't know that it has.
func Sole(answers []Answer) (Origin, bool) {
	var sole *Origin
	for i := range answers {
		a := &answers[i]
		if a.Several || a.Sole && sole != nil && *sole != a.Origin {
			return Origin{}, false
		}
		if a.Sole {
			sole = &a.Origin
		}
	}
	if sole == nil {
		return Origin{}, false
	}
	return *sole, true
}
