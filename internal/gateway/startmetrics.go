package gateway

// startGauges are the numbers of requests started on targets, as of the latest ShareReport.
type startGauges struct {
	Total int64 `json:"total"`
	// Misplaced is the number of starts on an overloaded target while another one was idle.
	Misplaced int64 `json:"misplaced"`
	// LoadAge is the greatest age of the peers' loads in ms.
	LoadAge int64 `json:"load_age_ms"`
}

func (m *metrics) startGauges() startGauges {
	r := m.shares.Load()
	return startGauges{Total: r.Starts, Misplaced: r.MisplacedStarts, LoadAge: r.LoadAge.Milliseconds()}
}
