package burn

import "time"

// Burn rates are computed over pairs of windows, a long one and a short one of a twelfth of its length, as in the
// multi-window, multi-burn-rate method of Google's Site Reliability Workbook, chapter "Alerting on SLOs". A burn rate
// of 1 consumes the whole error budget in the period of the objective, which is 30 days in that chapter. The chapter
// recommends paging at 14.4 over 1 h and 5 min (2% of the budget in an hour) and at 6 over 6 h and 30 min (5% in six
// hours). Its third pair, 3 days and 6 h, needs a longer history than an instance keeps.

// window is a period, ending now, over which a burn rate is computed.
type window struct {
	name    string
	minutes int64
	// threshold is the burn rate that both windows of a pair must exceed to page.
	threshold float64
}

// windows lists the pairs, each with the short window before the long one.
var windows = []window{{"5m", 5, 14.4}, {"1h", 60, 14.4}, {"30m", 30, 6}, {"6h", 360, 6}}

// Rate is the burn rate over one window. Good and Bad are the numbers of queries in the window.
type Rate struct {
	Window string `json:"window"`
	Good   int64  `json:"good"`
	Bad    int64  `json:"bad"`
	// BurnRate is the ratio of bad queries divided by the ratio that the objective allows, or 0 without queries.
	BurnRate float64 `json:"burn"`
	// Threshold is the burn rate that both windows of a pair must exceed to page.
	Threshold float64 `json:"threshold"`
}

// RateOf returns the burn rate of counts under an objective of the given percentage. It is 0 without queries, and for
// an objective of 100%, which has no error budget.
func RateOf(good, bad int64, percent float64) float64 {
	if good+bad == 0 || percent >= 100 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - percent/100)
}

// windowRates returns the burn rate of each window. The current, incomplete minute is the last one of a window.
func windowRates(s Series, now time.Time) []Rate {
	currentMinute := now.Unix() / 60
	rates := make([]Rate, 0, len(windows))
	for _, w := range windows {
		rate := Rate{Window: w.name, Threshold: w.threshold}
		for _, b := range s.Buckets {
			if b.Minute > currentMinute-w.minutes && b.Minute <= currentMinute {
				rate.Good += b.Good
				rate.Bad += b.Bad
			}
		}
		rate.BurnRate = RateOf(rate.Good, rate.Bad, s.Percent)
		rates = append(rates, rate)
	}
	return rates
}

// The alert states of an objective.
const (
	alertPage = "page"
	alertOK   = "ok"
)

// alertState returns alertPage if both windows of a pair are above their threshold, and alertOK otherwise. The long
// window shows that the rate of bad queries is significant, and the short one that it continues.
func alertState(rates []Rate) string {
	for i := 0; i+1 < len(rates); i += 2 {
		if rates[i].BurnRate > rates[i].Threshold && rates[i+1].BurnRate > rates[i+1].Threshold {
			return alertPage
		}
	}
	return alertOK
}
