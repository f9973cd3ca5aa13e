package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const sound = `{
  "instance": "entry-1", "dataCentre": "Regina", "listen": "127.0.0.1:80", "admin": "127.0.0.1:81",
  "platform": {"address": "http://10.0.0.1:9000", "timeout": "700ms"},
  "approvers": [{"name": "a", "publicKey": "0000000000000000000000000000000000000000000000000000000000000000"}],
  "threshold": 1, "stop": {"limit": "90s"}
}`

func TestParseEntry(t *testing.T) {
	Convey("Sound settings are mapped, with defaults", t, func() {
		entry, err := ParseEntry("s.json", []byte(sound))
		So(err, ShouldBeNil)
		So(entry.Platform.Timeout.String(), ShouldEqual, "700ms")
		So(entry.StopLimit.String(), ShouldEqual, "1m30s")
		So(entry.DrainDelay, ShouldEqual, defaultDrainDelay)
		So(entry.PeerListen, ShouldBeEmpty)
	})
}

func TestExamples(t *testing.T) {
	Convey("The settings of both deployments are sound", t, func() {
		for _, name := range []string{"prairie", "brittany"} {
			entry, err := ReadEntry("../deploy/" + name + "/entry.json")
			So(err, ShouldBeNil)
			So(entry.Peers, ShouldHaveLength, 1)
			ctl, err := ReadCtl("../deploy/" + name + "/ctl.json")
			So(err, ShouldBeNil)
			So(ctl.Admins, ShouldHaveLength, 6)
		}
	})
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(`{"instance": 3}`))
	f.Add([]byte(`{"threshold": 2, "approvers": []}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		entry, err := ParseEntry("fuzz", content)
		if err == nil && (entry.Instance == "" || entry.Trust.Threshold < 1 || entry.Trust.Threshold > len(entry.Trust.Approvers)) {
			t.Errorf("unsound settings were accepted: %+v", entry)
		}
	})
}
