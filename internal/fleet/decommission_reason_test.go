package fleet

import (
	"strings"
	"testing"
)

// TestDecommissionReasonStrings checks that every reason has a distinct text.
func TestDecommissionReasonStrings(t *testing.T) {
	seen := map[string]DecommissionReason{}
	for reason := NotDecommissioned; reason <= DecommissionDrained; reason++ {
		text := reason.String()
		if other, ok := seen[text]; ok || strings.HasPrefix(text, "DecommissionReason(") {
			t.Errorf("reason %d has the text %q, the same as reason %d", int(reason), text, int(other))
		}
		seen[text] = reason
	}
}
