package estimator

import "time"

// upperFraction is the quantile of the absolute error that is reported in addition to its mean.
const upperFraction = 0.9

// WaitError tracks the error of predicted waits.
type WaitError struct {
	// Count is the number of started tasks that were compared.
	Count uint64
	// Bias is the recent mean of the predicted minus the actual wait.
	Bias time.Duration
	// MeanAbsolute is the recent mean of the absolute error.
	MeanAbsolute time.Duration
	// P90 is the recent 90th percentile of the absolute error.
	P90 time.Duration

	quantile Quantile
}

// Add records the predicted and the actual wait of one started task.
func (w *WaitError) Add(predicted, actual time.Duration) {
	if w.Count == 0 {
		w.quantile = NewQuantile(upperFraction)
	}
	w.Count++
	weight := max(newSampleWeight/10, 1/float64(w.Count))
	signedError := predicted - actual
	w.Bias += time.Duration(float64(signedError-w.Bias) * weight)
	w.MeanAbsolute += time.Duration(float64(signedError.Abs()-w.MeanAbsolute) * weight)
	w.quantile.Add(max(float64(signedError.Abs()), 1))
	w.P90 = time.Duration(w.quantile.Value())
}
