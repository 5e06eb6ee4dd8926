package budget

const (
	// slotsPerWindow is the number of slots by which a window is counted.
	slotsPerWindow = 100
	// slotsPerHalf is that of half a window.
	slotsPerHalf = slotsPerWindow / 2
	// slotsKept is the number of slots that windows with the current slot depend on:
	// those of the first such window, and of the half window before it.
	slotsKept = slotsPerWindow + slotsPerHalf + 1
)

// usage counts the requests for one service and the further attempts spent on it, by
// slot of time.
type usage struct {
	// slots holds the last slots, each at its number modulo slotsKept.
	slots [slotsKept]slotUsage
	// number is that of the current slot.
	number int
}

// slotUsage counts the events of one slot.
type slotUsage struct{ requests, spent int }

// at returns the slot with the given number, which is empty if it is before the first.
func (u *usage) at(number int) *slotUsage {
	return &u.slots[(number+slotsKept)%slotsKept]
}

// current returns the current slot.
func (u *usage) current() *slotUsage { return u.at(u.number) }

// advance makes the slot with the given number the current one, unless a later one is.
func (u *usage) advance(number int) {
	u.number = max(u.number, number-slotsKept)
	for u.number < number {
		u.number++
		*u.current() = slotUsage{}
	}
}

// allows reports whether one more attempt may be spent now: in each window with the
// current slot, those spent are at most share, plus the ratio of the mean of two numbers
// of requests, those of the window and those of the window half its length earlier.
//
// A window may begin anywhere in its first slot. So all attempts of that slot count, and
// only the requests of slots that are in the window as a whole.
func (u *usage) allows(ratio, share float64) bool {
	spent, within, earlier := 1, 0, 0
	for slot := u.number - slotsPerHalf + 1; slot <= u.number; slot++ {
		earlier += u.at(slot).requests
	}
	for first := u.number; ; first-- {
		spent += u.at(first).spent
		if float64(spent) > share+ratio*float64(within+earlier)/2 {
			return false
		}
		if first == u.number-slotsPerWindow {
			return true
		}
		within += u.at(first).requests
		earlier += u.at(first - slotsPerHalf).requests
		if end := first + slotsPerHalf - 1; end <= u.number {
			earlier -= u.at(end).requests
		}
	}
}
