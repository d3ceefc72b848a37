// Package authenticator identifies the client account of a request by its API
// key, and rejects requests that would forward the key to an upstream.
//
// # Usage
//
//	key, err := authenticator.Authenticate(config, header)
//	if err != nil {
//		return err // Status 401; the error does not contain the key.
//	}
//	account := key.ClientAccount
package authenticator

import (
	"bytes"
	"strings"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const bearerPrefix = "Bearer "

// BearerToken returns the bearer token of an Authorization header, or an empty
// string when there is none.
func BearerToken(header string) string {
	if len(header) > len(bearerPrefix) && strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(header[len(bearerPrefix):])
	}
	return ""
}

// Authenticate returns the active key that matches the bearer token of an
// Authorization header. Its error is a *savoryloft.Error with status 401.
func Authenticate(c *follower.Config, header string) (*follower.Key, error) {
	token := BearerToken(header)
	if token == "" {
		return nil, unauthorized("MissingKey", "send the key as \"Authorization: Bearer KEY\"")
	}
	k, ok := c.Key(follower.HashKey(token))
	if !ok {
		return nil, unauthorized("UnknownKey", "the key is not in force")
	}
	return k, nil
}

// CheckKeyLeak returns an error when the bearer token of an Authorization header
// also occurs in one of parts, which are the parts of the request that would be
// forwarded. Its error is a *savoryloft.Error with status 400.
func CheckKeyLeak(header string, parts ...[]byte) error {
	token := []byte(BearerToken(header))
	if len(token) == 0 {
		return nil
	}
	for _, p := range parts {
		if bytes.Contains(p, token) {
			return &savoryloft.Error{
				Step: savoryloft.StepAuthenticate, StatusCode: 400, Code: "KeyInRequest",
				Message: "the key must stand in the Authorization header only", Run: savoryloft.RunNotRun,
			}
		}
	}
	return nil
}

func unauthorized(code, message string) *savoryloft.Error {
	return &savoryloft.Error{
		Step: savoryloft.StepAuthenticate, StatusCode: 401, Code: code,
		Message: message, Run: savoryloft.RunNotRun,
	}
}
