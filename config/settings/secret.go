package settings

// mask is printed in place of a secret.
const mask = "********"

// Secret is a setting that is masked when it is printed or encoded. Reveal returns
// its value.
type Secret string

// Reveal returns the secret in plain text.
func (s Secret) Reveal() string { return string(s) }

// String returns the mask, or an empty string for an empty secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return mask
}

// GoString masks the secret in %#v.
func (s Secret) GoString() string { return s.String() }

// MarshalText masks the secret in JSON.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
