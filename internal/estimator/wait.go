package estimator

import "time"

// upper is the quantile of the error that is reported beside the mean.
const upper = 0.9

// WaitError compares predicted waits with real ones.
type WaitError struct {
	// Count is the number of started tasks that were compared.
	Count uint64
	// Bias is the recent mean of predicted minus real wait.
	Bias time.Duration
	// MeanAbsolute is the recent mean of the error's size.
	MeanAbsolute time.Duration
	// Upper is the recent 90th percentile of the error's size.
	Upper time.Duration

	quantile Quantile
}

// Add records one started task.
func (w *WaitError) Add(predicted, measured time.Duration) {
	if w.Count == 0 {
		w.quantile = NewQuantile(upper)
	}
	w.Count++
	weight := max(recentWeight/10, 1/float64(w.Count))
	diff := predicted - measured
	w.Bias += time.Duration(float64(diff-w.Bias) * weight)
	w.MeanAbsolute += time.Duration(float64(diff.Abs()-w.MeanAbsolute) * weight)
	w.quantile.Add(max(float64(diff.Abs()), 1))
	w.Upper = time.Duration(w.quantile.Value())
}
