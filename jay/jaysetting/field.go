package jaysetting

import (
	"log/slog"
	"net"
	"net/url"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayini"
)

func levelField(name string, target *slog.Level) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		if err := target.UnmarshalText([]byte(value)); err != nil {
			return errors.Errorf("%q is not one of debug, info, warn, error", value)
		}
		return nil
	}}
}

func listenField(name string, target *string) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return errors.Errorf("%q is not an IP address and a port such as 127.0.0.1:7100", value)
		}
		*target = value
		return nil
	}}
}

func urlField(name string, target *string) jayini.Field {
	return jayini.Field{Name: name, Set: func(value string) error {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" {
			return errors.Errorf("%q is not an address such as http://127.0.0.1:7000", value)
		}
		*target = value
		return nil
	}}
}
