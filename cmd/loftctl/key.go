package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const (
	keyBytes  = 24
	keyPrefix = "sl-"
)

func keyCommand() *cobra.Command {
	c := &cobra.Command{Use: "key", Short: "Issue and withdraw API keys of client accounts"}
	c.AddCommand(keyIssueCommand(), keyWithdrawCommand())
	return c
}

const keyIssueUsage = `Issue generates a key for a client account, publishes a note with its hash and
prints the key. The key itself is not stored.

Example:

  loftctl key issue --platform 127.0.0.1:7000 --account tsagaan --name tsagaan-2`

func keyIssueCommand() *cobra.Command {
	var address, account, name string
	var wait []string
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "issue",
		Short: "Issue a key to a client account",
		Long:  keyIssueUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			secret, err := newKey()
			if err != nil {
				return err
			}
			n := savoryloft.Note{
				ID: noteID("issue", name), Base: -1,
				Added: &savoryloft.Entities{Keys: []savoryloft.Key{{
					Name: name, ClientAccount: account, Hash: follower.HashKey(secret),
				}}},
			}
			if err := publishAndWait(c, log, n, wait, timeout); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), secret)
			return nil
		},
	}
	c.Flags().StringVar(&account, "account", "", "name of the client account")
	c.Flags().StringVar(&name, "name", "", "name of the key")
	_ = c.MarkFlagRequired("account")
	_ = c.MarkFlagRequired("name")
	addPlatformFlag(c, &address)
	addWaitFlags(c, &wait, &timeout)
	return c
}

const keyWithdrawUsage = `Withdraw publishes a note that withdraws a key. All instances terminate the
queued and running requests of the key within seconds, also those on open
connections.

Example:

  loftctl key withdraw --platform 127.0.0.1:7000 --name tsagaan-1 \
    --wait 127.0.0.1:8101,127.0.0.1:8102`

func keyWithdrawCommand() *cobra.Command {
	var address, name string
	var wait []string
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "withdraw",
		Short: "Withdraw a key",
		Long:  keyWithdrawUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			n := savoryloft.Note{
				ID: noteID("withdraw", name), Base: -1,
				Withdrawn: &savoryloft.EntityNames{Keys: []string{name}},
			}
			return publishAndWait(c, log, n, wait, timeout)
		},
	}
	c.Flags().StringVar(&name, "name", "", "name of the key")
	_ = c.MarkFlagRequired("name")
	addPlatformFlag(c, &address)
	addWaitFlags(c, &wait, &timeout)
	return c
}

// newKey returns a random key.
func newKey() (string, error) {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Annotate(err, "generate key")
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b), nil
}

// noteID returns the ID of a generated note. It differs between calls at least a
// millisecond apart.
func noteID(action, name string) string {
	return fmt.Sprintf("%s-%s-%d", action, name, time.Now().UnixMilli())
}
