package burn

import "time"

// Burn rates are computed over pairs of windows, a long one and one of a twelfth of it, as in the multi-window,
// multi-burn-rate method of Google's Site Reliability Workbook, chapter "Alerting on SLOs". A burn rate of 1 spends
// the whole error budget in the period of the objective, for which the chapter takes 30 days. Its table recommends
// paging at 14.4 over 1 h and 5 min, which is 2% of the budget in an hour, and at 6 over 6 h and 30 min, which is
// 5% in six hours. Its third pair, 3 days and 6 h, needs a longer history than an instance keeps.

// window is a length of time over which a burn rate is computed.
type window struct {
	name    string
	minutes int64
	// threshold is the burn rate at which the pair that the window belongs to pages.
	threshold float64
}

// windows lists the pairs: the short window, then its long one.
var windows = []window{{"5m", 5, 14.4}, {"1h", 60, 14.4}, {"30m", 30, 6}, {"6h", 360, 6}}

// Rate is the burn rate over one window.
type Rate struct {
	Window string `json:"window"`
	Good   int64  `json:"good"`
	Bad    int64  `json:"bad"`
	// Burn is the share of bad queries over the share that the objective allows; 0 without queries.
	Burn float64 `json:"burn"`
	// Threshold is the burn rate above which this window takes part in a page.
	Threshold float64 `json:"threshold"`
}

// RateOf returns the burn rate of counts under an objective.
func RateOf(good, bad int64, percent float64) float64 {
	if good+bad == 0 || percent >= 100 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - percent/100)
}

// rates sums the buckets of each window. The minute that now is in counts as the last one.
func rates(s Series, now time.Time) []Rate {
	last := now.Unix() / 60
	all := make([]Rate, 0, len(windows))
	for _, w := range windows {
		rate := Rate{Window: w.name, Threshold: w.threshold}
		for _, b := range s.Buckets {
			if b.Minute > last-w.minutes && b.Minute <= last {
				rate.Good += b.Good
				rate.Bad += b.Bad
			}
		}
		rate.Burn = RateOf(rate.Good, rate.Bad, s.Percent)
		all = append(all, rate)
	}
	return all
}

// The states of an objective.
const (
	alertPage = "page"
	alertOK   = "ok"
)

// alert requires both windows of a pair: the long one shows that the loss matters, and the short one that it goes on.
func alert(all []Rate) string {
	for i := 0; i+1 < len(all); i += 2 {
		if all[i].Burn > all[i].Threshold && all[i+1].Burn > all[i+1].Threshold {
			return alertPage
		}
	}
	return alertOK
}
