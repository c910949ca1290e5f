package jsonc

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Duration is a duration that is written with a unit, such as "250ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText parses a Go duration. A number without a unit is rejected, even 0.
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

// MarshalText formats the duration with units.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Addr is an IP address and port, such as "127.0.0.1:8080".
type Addr struct{ netip.AddrPort }

// UnmarshalText parses an IP address and port. Host names are rejected.
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

// String returns the address, or "" if it is not set.
func (a Addr) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}
