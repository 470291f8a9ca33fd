package settings

import (
	"strings"
	"testing"
)

// FuzzParse checks that no settings file makes the process panic that reads and validates it.
func FuzzParse(f *testing.F) {
	for _, odd := range []string{
		"node: n\nzone: z\n", "limits:\n  window: 1e400s\n", "stop:\n  grace: 9223372036854775807ns\n", "stop:\n  grace: -1s\nsleep:\n  tailPower: .nan\n",
		"a: &a [x,x]\nb: &b [*a,*a]\nc: [*b,*b]\n", "node: \xff\n", "node: {}\n", "node: [" + strings.Repeat("[", 11_000), strings.Repeat("- ", 11_000), "node: n\nnode: m\n", "zones: 7\n",
	} {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(_ *testing.T, content []byte) {
		settings, _, err := Parse(content)
		if err == nil {
			_ = settings.Validate()
		}
	})
}
