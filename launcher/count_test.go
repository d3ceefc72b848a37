package launcher

import (
	"strconv"
	"strings"
)

// parseAccountCount sets n to the count of the account named "account" in a
// usage report in the form of fmt.Sprint.
func parseAccountCount(report string, n *int) (string, error) {
	_, after, ok := strings.Cut(report, "account:")
	if !ok {
		return "", strconv.ErrSyntax
	}
	v, err := strconv.Atoi(strings.TrimSuffix(after, "]"))
	*n = v
	return after, err
}
