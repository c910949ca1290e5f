package jsonc

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Duration is a time with its unit, such as "250ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText parses a Go duration. A bare number is refused.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q has no valid unit (ms, s, m, h)", text)
	}
	if string(text) == "0" {
		return errors.New("0 has no unit")
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the time with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Addr is an IP number with a port, such as "127.0.0.1:8080".
type Addr struct{ netip.AddrPort }

// UnmarshalText parses an address. A host name is refused.
func (a *Addr) UnmarshalText(text []byte) error {
	v, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return fmt.Errorf("%q is no IP number with port", text)
	}
	a.AddrPort = v
	return nil
}

// MarshalText formats the address.
func (a Addr) MarshalText() ([]byte, error) { return a.AddrPort.MarshalText() }

// String returns the address, or "" when it is not set.
func (a Addr) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}
