package bridempotency

const maxKeyLength = 128 // bytes

// ValidKey reports whether a key is 1 to 128 visible ASCII characters.
func ValidKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for _, b := range []byte(key) {
		if b < '!' || b > '~' {
			return false
		}
	}
	return true
}
