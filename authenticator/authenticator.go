// Package authenticator finds the client account whose key came with a
// request and makes sure that the key goes no further.
//
// # Usage
//
//	key, err := authenticator.Authenticate(config, header)
//	if err != nil {
//		return err // 401; nothing about the key is in the error.
//	}
//	account := key.ClientAccount
package authenticator

import (
	"bytes"
	"strings"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const scheme = "Bearer "

// Secret returns the key in an Authorization header, or an empty string.
func Secret(header string) string {
	if len(header) > len(scheme) && strings.EqualFold(header[:len(scheme)], scheme) {
		return strings.TrimSpace(header[len(scheme):])
	}
	return ""
}

// Authenticate returns the key in force that an Authorization header shows.
func Authenticate(c *follower.Config, header string) (*follower.Key, error) {
	secret := Secret(header)
	if secret == "" {
		return nil, unauthorized("MissingKey", "send the key as \"Authorization: Bearer KEY\"")
	}
	k, ok := c.Key(follower.HashKey(secret))
	if !ok {
		return nil, unauthorized("UnknownKey", "the key is not in force")
	}
	return k, nil
}

// CheckLeak returns an error when the key stands in a part of the request that
// would be passed on.
func CheckLeak(header string, parts ...[]byte) error {
	secret := []byte(Secret(header))
	if len(secret) == 0 {
		return nil
	}
	for _, p := range parts {
		if bytes.Contains(p, secret) {
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
