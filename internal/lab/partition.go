package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Impairment is what becomes of what one gateway says to another, in that direction alone. The zero value lets all pass.
type Impairment struct {
	Cut     bool          // nothing arrives: datagrams are lost, connections wait until the cut is over
	Delay   time.Duration // all comes so much later
	Drop    float64       // so large a part of the datagrams is lost
	Reorder float64       // so large a part of the datagrams comes after the next one
}

// path is the way between two gateways, begun by one of them: a relay for connections and one for datagrams.
type path struct {
	tcp *Relay
	udp *datagrams
}

// datagrams passes datagrams on in one direction; answers go by the path of the other gateway.
type datagrams struct {
	in   *net.UDPConn
	out  *net.UDPConn
	mu   sync.Mutex
	fate Impairment
	rng  *rand.Rand
	kept []byte // one that comes after the next
}

func newDatagrams(l *Lab, at, to string, seed uint64) (*datagrams, error) {
	a, errA := net.ResolveUDPAddr("udp", at)
	b, errB := net.ResolveUDPAddr("udp", to)
	if err := errors.Join(errA, errB); err != nil {
		return nil, err
	}
	d := &datagrams{rng: rand.New(rand.NewPCG(l.Seed, seed))}
	var err error
	if d.in, err = net.ListenUDP("udp", a); err != nil {
		return nil, err
	}
	l.onClose(func() { d.in.Close() })
	if d.out, err = net.DialUDP("udp", nil, b); err != nil {
		return nil, err
	}
	l.onClose(func() { d.out.Close() })
	go d.pass()
	return d, nil
}

func (d *datagrams) set(f Impairment) {
	d.mu.Lock()
	d.fate, d.kept = f, nil
	d.mu.Unlock()
}

func (d *datagrams) pass() {
	buf := make([]byte, 64<<10)
	for {
		n, err := d.in.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, b := range d.take(append([]byte(nil), buf[:n]...)) {
			d.out.Write(b) // the gateway may be down: then it is lost
		}
	}
}

// take returns what is passed on now that a datagram has come.
func (d *datagrams) take(b []byte) [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.fate
	if f.Cut || f.Drop > 0 && d.rng.Float64() < f.Drop {
		return nil
	}
	if f.Delay > 0 {
		time.AfterFunc(f.Delay, func() { d.out.Write(b) })
		return nil
	}
	if d.kept == nil && f.Reorder > 0 && d.rng.Float64() < f.Reorder {
		d.kept = b
		return nil
	}
	out := [][]byte{b}
	if d.kept != nil {
		out, d.kept = append(out, d.kept), nil
	}
	return out
}

// lay makes the paths between all gateways, on which they reach each other from then on.
func (l *Lab) lay() error {
	l.paths = make([][]*path, len(l.Gateways))
	for i := range l.Gateways {
		l.paths[i] = make([]*path, len(l.Gateways))
		for j, to := range l.Gateways {
			if i == j {
				continue
			}
			tcp, err := newRelay(l, fmt.Sprintf("127.79.%d.%d:0", i+1, j+1), func() string { return to.peer })
			if err != nil {
				return err
			}
			udp, err := newDatagrams(l, tcp.Addr(), to.peer, uint64(1000*i+j))
			if err != nil {
				return err
			}
			l.paths[i][j] = &path{tcp, udp}
		}
	}
	return nil
}

// Impair gives what from says to to a fate; what to says to from is another question. Gateways count from 0.
func (l *Lab) Impair(from, to int, f Impairment) {
	l.paths[from][to].udp.set(f)
	fault := Fault{Hold: f.Cut, Delay: f.Delay}
	l.paths[from][to].tcp.set(0, fault) // on connections that it has opened,
	l.paths[to][from].tcp.set(1, fault) // and on those of the other
}

// Partition cuts the fleet into groups that don't hear each other; a gateway in none of them is alone.
func (l *Lab) Partition(groups ...[]int) {
	l.Logf("the fleet is cut into %v", groups)
	of := map[int]int{}
	for k, g := range groups {
		for _, i := range g {
			of[i] = k + 1
		}
	}
	l.all(func(i, j int) Impairment { return Impairment{Cut: i != j && (of[i] == 0 || of[i] != of[j])} })
}

// Heal has all gateways hear each other again.
func (l *Lab) Heal() {
	l.Logf("all gateways hear each other")
	l.all(func(int, int) Impairment { return Impairment{} })
}

func (l *Lab) all(f func(i, j int) Impairment) {
	for i := range l.Gateways {
		for j := range l.Gateways {
			if i != j {
				l.Impair(i, j, f(i, j))
			}
		}
	}
}
