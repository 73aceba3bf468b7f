package lifecycle

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/mqtt"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
	"quillrail/internal/wire/workerlink"
)

const configText = `{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bulletin":"%BULLETIN%",
 "known":{"no":3,"items":[{"no":3,"roster":{"revision":1,"complete":true,"members":[{"id":"s-00c41f7a",
 "host_port":"%WORKER%","locality":"x","flavor":"std","cell":1,"phase":"active","size":1,"up_since_ms":0}]}}]},
 "settings":{"azs":["x"],"kinds":["std"],"balancers":1,"classes":[{"credit":1,"deadline-s":4,"effect":"idempotent",
 "key-scope":"all","late-worth":0.3,"name":"read","promise-s":1,"streaming":false,"window-s":5}],"contract":{
 "drain-grace-s":2,"cold-from":0.2,"cold-s":10,"fall-multiple":2.5,"fall-s":3},"customers":[{"name":"a","share":1}],
 "family-info":{"keep-s":10,"marks-cold":true,"not-loaded":"load"},"membership-mode":"automatic","policy-limits":{
 "cancelling":true,"conn-idle-s":30,"connect-timeout-s":0.25,"max-retry-after-s":2,"parallel-tries":true,
 "retry-after":true,"streams-per-conn":32,"try-limit":5}}}`

// Each invalid configuration is rejected with an error of one line.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	good := strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:2").Replace(configText)
	dir := t.TempDir()
	mqttPath := filepath.Join(dir, "mqtt.toml")
	read := func(conf, mqtt string) error {
		path := filepath.Join(dir, "config.json")
		for file, content := range map[string]string{path: conf, mqttPath: mqtt} {
			if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		t.Setenv("NODE_CONFIG", path)
		_, err := FromEnv(mqttPath, "none")
		return err
	}
	if err := read(good, "enabled = false"); err != nil {
		t.Fatal(err)
	}
	for old, new := range map[string]string{`{"name"`: `{`, `"seed":"8`: `"seed":"x`, `127.0.0.1:0`: `nowhere`,
		`127.0.0.1:1"`: `"`, `"sockets":1024`: `"sockets":3`, `"memory_mb":192`: `"memory_mb":1`, `"active"`: `"odd"`,
		`"idempotent"`: `"odd"`, `"conn-idle-s":30`: `"conn-idle-s":0`, `"streams-per-conn":32`: `"streams-per-conn":0`,
		`"locality":"x"`: `"locality":"q"`} {
		if err := read(strings.Replace(good, old, new, 1), ""); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("configuration with %s: error %v, want one line", new, err)
		}
	}
	mqttFile := "enabled = true\n[calls]\nbroker = \"%s\"\nclient_id = \"c\"\nlisten = [\"t\"]\nsession_expiry_s = 9\nkeep_alive_s = %d\n"
	if err := read(good, fmt.Sprintf(mqttFile, "127.0.0.1:9", 9)); err != nil {
		t.Error(err)
	}
	for _, bad := range []string{"x = 1", "enabled = 3", fmt.Sprintf(mqttFile, "10.0.0.1:9", 9), fmt.Sprintf(mqttFile, "localhost", 9),
		fmt.Sprintf(mqttFile, "127.0.0.1:9", 0), "[export]\nenabled = true\ncollector = \"1.1.1.1:1\"\nqueue = 1",
		"[export]\nenabled = true\ncollector = \"127.0.0.1:1\"\nqueue = 0",
		"enabled = true\n[workers]\nbroker = \"127.0.0.1:1\"\nclient_id = \"c\"\nreplies = \"a/#\"\nkeep_alive_s = 1"} {
		if err := read(good, bad); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("extensions %q: error %v, want one line", bad, err)
		}
	}
	t.Setenv("NODE_CONFIG", filepath.Join(dir, "none"))
	if _, err := FromEnv(mqttPath, "none"); err == nil {
		t.Error("a configuration file that does not exist gave no error")
	}
}

// The bulletin does not list the workers that are reached by MQTT. Its complete lists must not remove them, and the pool of direct
// connections must not connect to them.
func TestBulletinDoesNotRemoveMQTTWorkers(t *testing.T) {
	world := wiretest.New(t)
	site := wiretest.Site()
	var updates []string
	record := func(whole bool, members []core.Member) {
		for _, m := range members {
			updates = append(updates, fmt.Sprint(m.Name, whole))
		}
	}
	link := mqtt.NewLink(world.Loop, world, mqtt.Options{Broker: "b"}, "r", []mqtt.Worker{{Name: "mqtt-1", Topic: "t", StatusTopic: "s"}},
		site.Decide.Classes, 1, record, world.Log())
	router := &workerRouter{Pool: workerlink.New(world.Loop, world, site, 9, world.Log()), mqtt: link}
	world.Listen("b", func(c *wiretest.Conn) sock.Handler {
		c.Write(mqtt.Append(nil, mqtt.Connack, 0, []byte{0, 0, 0}))
		c.Write(mqtt.AppendPublish(nil, &mqtt.Message{Topic: "s", Payload: []byte("ready")}, 0, 1))
		return &wiretest.Peer{Conn: c}
	})
	link.Connect()
	world.Run()
	router.addMQTTMembers(record)(true, []core.Member{{Addr: "a:1", Host: decide.Host{Name: "s-1"}}})
	if got := strings.Join(updates, " "); got != "mqtt-1false s-1true mqtt-1true" {
		t.Errorf("list updates were %s, want the MQTT worker first alone, then in the complete list", got)
	}
	router.ApplyList(true, []core.Member{{Addr: "t", Host: decide.Host{Name: "mqtt-1"}}})
	if router.workersFor("mqtt-1") != core.Workers(link) || router.workersFor("s-1") != core.Workers(router.Pool) {
		t.Error("a worker is mapped to the wrong link")
	}
}

// Calls that wait for a worker take at most half of the places for client connections, so that in an overload new clients
// find one and are answered. Else they wait unseen until their time is over.
func TestHeldCallsLeavePlacesForNewClients(t *testing.T) {
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:2").Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	if held, places := c.Site.Decide.MaxHeld, c.clientSockets(); held < 1 || held > places/2 {
		t.Errorf("%d calls may be held with %d places for clients, want 1 to %d", held, places, places/2)
	}
}
