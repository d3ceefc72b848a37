package launcher

import (
	"strconv"
	"strings"
)

// parseCount reads the figure of the account from a printed report.
func parseCount(report string, n *int) (string, error) {
	_, after, ok := strings.Cut(report, "account:")
	if !ok {
		return "", strconv.ErrSyntax
	}
	v, err := strconv.Atoi(strings.TrimSuffix(after, "]"))
	*n = v
	return after, err
}
