package admission
import ("testing";"time";"fmt")
func TestZZ(t *testing.T) {
	for _, c := range []string{"history", "order"} {
	for _, wt := range []bool{true,false} {
		var tot [8]float64
		reasons := map[string]int{}
		for seed := range uint64(8) {
	l := simulatedLoad{kinds: meshKinds(), speeds: []float64{0.5, 1, 1, 1.5}, weights: skewed(83), length: 12 * time.Second, seed: 30+seed, settings: Settings{MoveWhenSlow: true}, withoutTenants: wt,
		factor: func(at time.Duration, k kind, _ int) float64 {
			if k.name == c && within(at, 3*time.Second, 9*time.Second) {
				return 1.15 * map[string]float64{"history":2.4,"order":8}[c]
			}
			return 1.15
		}}
		s := simulate(l)
		for i, k := range []string{"order","call","history"} { tot[2*i] += s.byKind[k].inTargets()/8; tot[2*i+1] += s.byKind[k].served()/8 }
		_, w := s.worstServed(); tot[6] += w/8
		for r, n := range s.reasons { reasons[string(r)] += n }
		}
		fmt.Printf("%s wt=%v %.3f %v\n", c, wt, tot, reasons)
	}}
}
