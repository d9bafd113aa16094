package limits

func (a Amount) combine(b Amount, f func(x, y float64) float64) Amount {
	return Amount{
		Requests: f(a.Requests, b.Requests),
		Tokens:   f(a.Tokens, b.Tokens),
		InFlight: f(a.InFlight, b.InFlight),
	}
}

func (a Amount) add(b Amount) Amount {
	return a.combine(b, func(x, y float64) float64 { return x + y })
}

func (a Amount) sub(b Amount) Amount {
	return a.combine(b, func(x, y float64) float64 { return x - y })
}

func (a Amount) max(b Amount) Amount {
	return a.combine(b, func(x, y float64) float64 { return max(x, y) })
}

func (a Amount) min(b Amount) Amount {
	return a.combine(b, func(x, y float64) float64 { return min(x, y) })
}

func (a Amount) scale(k float64) Amount {
	return Amount{Requests: a.Requests * k, Tokens: a.Tokens * k, InFlight: a.InFlight * k}
}
