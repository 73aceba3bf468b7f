package main

import (
	"errors"
	"fmt"
	"time"
)

// resendAfter is how long after its command the caller connects again. Workers have forgotten the key by then.
const resendAfter = 9500 * time.Millisecond

// redeliveryAfterUpgrade has the session between a caller and the broker drop before the broker acknowledges a remote-command. The caller
// sends it again when it is connected again, so that the broker delivers it a second time. In between the gateway is upgraded.
func redeliveryAfterUpgrade(s *setup) (violations []string, err error) {
	d, err := newDeployment(s)
	defer d.close()
	if err == nil {
		err = d.useMQTT(s)
	}
	if err != nil {
		return nil, err
	}
	old, err := d.gateway.start()
	if err == nil {
		err = d.awaitSubscription()
	}
	if err != nil {
		return nil, err
	}
	d.broker.dropUnacknowledged = func(clientID string, m message) bool { return clientID == "console-1" && !m.dup }
	console, err := newCaller(s.record, d.broker, "console-1")
	if err != nil {
		return nil, err
	}
	const key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	sent := time.Now()
	console.call("command-1", command, "7f3a9c21e0b4d655", key, "9b1f03aa5c7e2d41", []byte("open the doors of car 2"))
	<-console.ended
	s.record.printf("the session of console-1 was dropped before its remote-command was acknowledged")
	time.Sleep(time.Second)
	if len(d.halls.of(key)) != 1 {
		return nil, errors.New("the remote-command has not run")
	}
	if s.trouble {
		if err := upgrade(s, d, old); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(sent.Add(resendAfter)))
	s.record.printf("console-1 connects again, and sends the remote-command again")
	if err := console.connect(); err != nil {
		return nil, err
	}
	time.Sleep(time.Duration(command.deadline+1) * time.Second)
	for _, o := range console.outcomesOf("command-1") {
		s.record.printf("outcome %s %s, %.2f s after the command was first sent", o.kind, o.reason, o.at.Sub(sent).Seconds())
	}
	if len(console.outcomesOf("command-1")) < 2 {
		return nil, errors.New("the second delivery had no outcome")
	}
	runs := d.halls.of(key)
	for _, r := range runs {
		s.record.printf("the command ran at %s in %s, %.2f s after it was first sent", r.worker, zones[r.hall], r.at.Sub(sent).Seconds())
	}
	if len(runs) > 1 {
		violations = append(violations, fmt.Sprintf("the remote-command with key %s ran %d times", key, len(runs)))
	}
	return violations, nil
}

// upgrade starts a new version beside the old process and ends that with SIGTERM once the new one is ready.
func upgrade(s *setup, d *deployment, old *process) error {
	next, err := d.gateway.start()
	if err != nil {
		return err
	}
	s.record.printf("%s is ready, %s gets SIGTERM", next.name, old.name)
	old.terminate()
	<-old.exited
	return d.awaitSubscription()
}
