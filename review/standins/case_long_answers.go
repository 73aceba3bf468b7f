package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	mqttCalls   = 96
	longEvery   = 16 // one answer in sixteen is long
	longAnswer  = 180_000
	shortAnswer = 200
	answerGrace = 500 * time.Millisecond // past the time of a call an answer earns nothing; after this it is missing
	callSpacing = 25 * time.Millisecond
)

// longAnswers makes calls by MQTT. One in sixteen of the workers' answers is long.
func longAnswers(s *setup) (violations []string, err error) {
	d, err := newDeployment(s)
	defer d.close()
	if err == nil {
		err = d.useMQTT(s)
	}
	if err != nil {
		return nil, err
	}
	if _, err = d.gateway.start(); err == nil {
		err = d.awaitSubscription()
	}
	if err != nil {
		return nil, err
	}
	console, err := newCaller(s.record, d.broker, "console-1")
	if err != nil {
		return nil, err
	}
	type sentCall struct {
		name, id, key string
		class         class
		size          int
		at            time.Time
	}
	var calls []sentCall
	for n := range mqttCalls {
		c := sentCall{name: fmt.Sprintf("call-%02d", n), id: fmt.Sprintf("%016x", rand.Uint64()), class: statusRead, size: shortAnswer, at: time.Now()}
		if n%longEvery >= longEvery/2 {
			c.class, c.key = command, fmt.Sprintf("%032x", n+1)
		}
		if s.trouble && n%longEvery == (n/longEvery)%2*(longEvery/2)+3 { // in turn of either class
			c.size = longAnswer
		}
		console.call(c.name, c.class, fmt.Sprintf("%016x", 0x7f3a0000+n%4+4*(n%longEvery/8)), c.key, c.id, fmt.Appendf(nil, "size %d %s", c.size, c.name))
		calls = append(calls, c)
		time.Sleep(callSpacing)
	}
	time.Sleep(time.Duration(statusRead.deadline*float64(time.Second)) + answerGrace)
	answers := map[string]int{}
	for _, c := range calls {
		out, ran := console.outcomesOf(c.name), 0
		for _, w := range d.workers {
			ran += w.runsOf(c.id)
		}
		if len(out) > 0 {
			answers[out[0].kind]++
			continue
		}
		answers["none"]++
		violations = append(violations, fmt.Sprintf("%s, a %s with an answer of %d bytes, ran %d times and had no outcome %.1f s after it was sent; "+
			"its caller waited for %.0f s", c.name, c.class.name, c.size, ran, time.Since(c.at).Seconds(), c.class.deadline))
	}
	s.record.printf("%d calls, by their first outcome: %v", len(calls), answers)
	if answers["served"] < len(calls)/2 {
		return nil, fmt.Errorf("only %d of %d calls were served", answers["served"], len(calls))
	}
	return violations, nil
}
