package bundle_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/deploy"
	"github.com/shelfshelf/shelfshelf/jsondoc"
	"github.com/shelfshelf/shelfshelf/keys"

	"github.com/shelfshelf/shelfshelf"
)

func TestParse(t *testing.T) {
	Convey("The example bundles parse, at the sizes of the brief", t, func() {
		for name, targets := range map[string]int{"prairie": 55, "brittany": 50} {
			content, err := deploy.Bundle(name)
			So(err, ShouldBeNil)
			parsed, err := bundle.Parse(name, content)
			So(err, ShouldBeNil)
			So(parsed.Targets, ShouldHaveLength, targets)
		}
	})
	Convey("Every mistake is named at once, with field and line", t, func() {
		content, err := deploy.Bundle("prairie")
		So(err, ShouldBeNil)
		broken := strings.NewReplacer(
			`"tier": "staff"`, `"tier": "stuff"`,
			`"threshold": 1`, `"threshold": 3`,
			`"pool": "counter",
      "tier": "counter",
      "method": "GET"`, `"pool": "nowhere",
      "tier": "counter",
      "method": "GET"`,
		).Replace(string(content))
		_, err = bundle.Parse("b.json", []byte(broken))
		var mistakes *jsondoc.MistakesError
		So(errors.As(err, &mistakes), ShouldBeTrue)
		So(mistakes.Mistakes, ShouldHaveLength, 3)
		So(err.Error(), ShouldContainSubstring, `routes[2].tier: unknown tier "stuff"`)
		So(err.Error(), ShouldContainSubstring, `routes[0].pool: unknown pool "nowhere"`)
		So(err.Error(), ShouldContainSubstring, "threshold")
		for _, mistake := range mistakes.Mistakes {
			So(mistake.Line, ShouldBeGreaterThan, 1)
		}
	})
	Convey("Paths that the instances could not route are mistakes, not crashes", t, func() {
		content, err := deploy.Bundle("prairie")
		So(err, ShouldBeNil)
		for _, path := range []string{"/v1/{", "/v1/vouchers/{x}/{y}", "/{a...}/b"} {
			changed := strings.Replace(string(content), "/v1/balances/{account}", path, 1)
			changed = strings.Replace(changed, `"method": "GET"`, `"method": "POST"`, 1)
			_, err := bundle.Parse("b.json", []byte(changed))
			if path == "/v1/vouchers/{x}/{y}" {
				So(err, ShouldBeNil) // the more specific pattern wins
				continue
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "routes[0].path")
		}
		changed := strings.Replace(string(content), "/v1/balances/{account}", "/v1/{any}/v1/charges", 1)
		changed = strings.Replace(changed, `"method": "GET"`, `"method": "POST"`, 1)
		_, err = bundle.Parse("b.json", []byte(changed))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "conflicts")
	})
	Convey("A bundle for a newer program is refused by its format", t, func() {
		_, err := bundle.Parse("b.json", []byte(`{"format": 2, "shape": "new"}`))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "newer program")
	})
}

func TestSignatures(t *testing.T) {
	Convey("A threshold of distinct approvers must sign", t, func() {
		publicA, privateA, err := keys.NewApprover()
		So(err, ShouldBeNil)
		publicB, privateB, err := keys.NewApprover()
		So(err, ShouldBeNil)
		approvers := []shelfshelf.Approver{{Name: "a", PublicKey: publicA}, {Name: "b", PublicKey: publicB}}
		signed := &bundle.Signed{Content: []byte("content")}
		signed.Sign("a", privateA)
		So(signed.Verify(approvers, 1), ShouldBeNil)
		So(errors.Is(signed.Verify(approvers, 2), bundle.ErrSignature), ShouldBeTrue)
		Convey("and one that signs under two names counts once", func() {
			signed.Sign("b", privateA)
			So(signed.Verify(approvers, 2), ShouldNotBeNil)
		})
		Convey("and two that sign count as two", func() {
			signed.Sign("b", privateB)
			So(signed.Verify(approvers, 2), ShouldBeNil)
		})
		Convey("and other content is refused", func() {
			signed.Content = []byte("other")
			So(signed.Verify(approvers, 1), ShouldNotBeNil)
		})
		Convey("and it survives its encoding", func() {
			encoded, err := signed.Encode()
			So(err, ShouldBeNil)
			decoded, err := bundle.DecodeSigned(encoded)
			So(err, ShouldBeNil)
			So(decoded, ShouldResemble, signed)
		})
	})
}
