package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Impairment is what happens to messages from one gateway to another, in that direction only. The zero value lets all of them pass.
type Impairment struct {
	Cut     bool          // nothing arrives: datagrams are lost, connections stall until the cut is over
	Delay   time.Duration // added to datagrams and to the bytes of connections
	Drop    float64       // part of the datagrams that is lost
	Reorder float64       // part of the datagrams that is delivered after the next one
}

// path carries the connections that one gateway opens to another, and the datagrams that it sends there, through a relay for each.
type path struct {
	tcp *Relay
	udp *datagramRelay
}

// datagramRelay forwards datagrams in one direction; answers use the path of the other gateway.
type datagramRelay struct {
	in         *net.UDPConn
	out        *net.UDPConn
	mu         sync.Mutex
	impairment Impairment
	rng        *rand.Rand
	heldBack   []byte // a datagram that is delivered after the next one
}

func newDatagramRelay(l *Lab, listenAddr, targetAddr string, seed uint64) (*datagramRelay, error) {
	listen, listenErr := net.ResolveUDPAddr("udp", listenAddr)
	target, targetErr := net.ResolveUDPAddr("udp", targetAddr)
	if err := errors.Join(listenErr, targetErr); err != nil {
		return nil, err
	}
	d := &datagramRelay{rng: rand.New(rand.NewPCG(l.Seed, seed))}
	var err error
	if d.in, err = net.ListenUDP("udp", listen); err != nil {
		return nil, err
	}
	l.onClose(func() { d.in.Close() })
	if d.out, err = net.DialUDP("udp", nil, target); err != nil {
		return nil, err
	}
	l.onClose(func() { d.out.Close() })
	go d.run()
	return d, nil
}

// set replaces the impairment; a datagram that is held back is lost.
func (d *datagramRelay) set(impairment Impairment) {
	d.mu.Lock()
	d.impairment, d.heldBack = impairment, nil
	d.mu.Unlock()
}

// run forwards datagrams until the relay is closed.
func (d *datagramRelay) run() {
	buf := make([]byte, 64<<10)
	for {
		n, err := d.in.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, datagram := range d.process(append([]byte(nil), buf[:n]...)) {
			d.out.Write(datagram) // lost if the gateway is down
		}
	}
}

// process takes a received datagram and returns the datagrams to forward now, in their order.
func (d *datagramRelay) process(datagram []byte) [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	impairment := d.impairment
	if impairment.Cut || impairment.Drop > 0 && d.rng.Float64() < impairment.Drop {
		return nil
	}
	if impairment.Delay > 0 {
		time.AfterFunc(impairment.Delay, func() { d.out.Write(datagram) })
		return nil
	}
	if d.heldBack == nil && impairment.Reorder > 0 && d.rng.Float64() < impairment.Reorder {
		d.heldBack = datagram
		return nil
	}
	out := [][]byte{datagram}
	if d.heldBack != nil {
		out, d.heldBack = append(out, d.heldBack), nil
	}
	return out
}

// createPaths creates the paths between all pairs of gateways.
func (l *Lab) createPaths() error {
	l.paths = make([][]*path, len(l.Gateways))
	for i := range l.Gateways {
		l.paths[i] = make([]*path, len(l.Gateways))
		for j, target := range l.Gateways {
			if i == j {
				continue
			}
			tcp, err := newRelay(l, fmt.Sprintf("127.79.%d.%d:0", i+1, j+1), func() string { return target.peerAddr })
			if err != nil {
				return err
			}
			udp, err := newDatagramRelay(l, tcp.Addr(), target.peerAddr, uint64(1000*i+j))
			if err != nil {
				return err
			}
			l.paths[i][j] = &path{tcp, udp}
		}
	}
	return nil
}

// Impair sets the impairment of messages from one gateway to another, and leaves the opposite direction alone. Gateways count
// from 0.
func (l *Lab) Impair(from, to int, impairment Impairment) {
	l.paths[from][to].udp.set(impairment)
	fault := Fault{Hold: impairment.Cut, Delay: impairment.Delay}
	l.paths[from][to].tcp.set(0, fault) // connections that from has opened
	l.paths[to][from].tcp.set(1, fault) // connections that to has opened
}

// Partition splits the fleet into groups that can't reach each other; a gateway in none of the groups is alone.
func (l *Lab) Partition(groups ...[]int) {
	l.Logf("the fleet is partitioned into %v", groups)
	groupOf := map[int]int{}
	for number, group := range groups {
		for _, i := range group {
			groupOf[i] = number + 1
		}
	}
	l.impairAll(func(i, j int) Impairment {
		return Impairment{Cut: i != j && (groupOf[i] == 0 || groupOf[i] != groupOf[j])}
	})
}

// Heal removes all impairments between gateways.
func (l *Lab) Heal() {
	l.Logf("all gateways reach each other again")
	l.impairAll(func(int, int) Impairment { return Impairment{} })
}

// impairAll sets the impairment of each ordered pair of gateways.
func (l *Lab) impairAll(impairment func(i, j int) Impairment) {
	for i := range l.Gateways {
		for j := range l.Gateways {
			if i != j {
				l.Impair(i, j, impairment(i, j))
			}
		}
	}
}
