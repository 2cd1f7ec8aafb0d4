package configurer

import (
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

var namePattern = regexp.MustCompile(`^[a-z0-9_.-]+$`)

// field parses the value of one option into the settings and formats it back.
type field struct {
	set func(*Settings, string) error
	get func(Settings) string
}

func text(at func(*Settings) *string, check func(string) error) field {
	return field{
		set: func(set *Settings, val string) error {
			*at(set) = val
			return check(val)
		},
		get: func(set Settings) string { return *at(&set) },
	}
}

func duration(at func(*Settings) *time.Duration) field {
	return field{
		set: func(set *Settings, val string) error {
			dur, err := time.ParseDuration(val)
			if err != nil || !strings.ContainsAny(val, "nsmhuµ") {
				return errors.NotValidf("duration %q (write a number with its unit, such as 3s or 500ms)", val)
			}
			if dur <= 0 {
				return errors.NotValidf("duration %q (must be above zero)", val)
			}
			*at(set) = dur
			return nil
		},
		get: func(set Settings) string { return at(&set).String() },
	}
}

func count(at func(*Settings) *int) field {
	return field{
		set: func(set *Settings, val string) error {
			num, err := strconv.Atoi(val)
			if err != nil || num < 1 {
				return errors.NotValidf("count %q (write a whole number above zero)", val)
			}
			*at(set) = num
			return nil
		},
		get: func(set Settings) string { return strconv.Itoa(*at(&set)) },
	}
}

// addresses returns the field of a comma-separated list of addresses, which may be empty.
func addresses(at func(*Settings) *[]string) field {
	return field{
		set: func(set *Settings, val string) error {
			*at(set) = nil
			for _, one := range strings.Split(val, ",") {
				one = strings.TrimSpace(one)
				if one == "" {
					continue
				}
				if err := checkAddress(one); err != nil {
					return err
				}
				*at(set) = append(*at(set), one)
			}
			return nil
		},
		get: func(set Settings) string { return strings.Join(*at(&set), ", ") },
	}
}

func checkName(val string) error {
	if !namePattern.MatchString(val) {
		return errors.NotValidf("name %q (use a-z, 0-9, '-', '_' and '.')", val)
	}
	return nil
}

func checkAddress(val string) error {
	adr, err := netip.ParseAddrPort(val)
	if err != nil || adr.Port() == 0 {
		return errors.NotValidf("address %q (write IP:PORT)", val)
	}
	return nil
}

func oneOf(vals ...string) func(string) error {
	return func(val string) error {
		if !slices.Contains(vals, val) {
			return errors.NotValidf("value %q (use one of %s)", val, strings.Join(vals, ", "))
		}
		return nil
	}
}
