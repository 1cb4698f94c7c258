package config

import "strings"

// IsConfigFile reports whether a file of that name in an operator's folder is a
// configuration file. Hidden files and editors' backup copies are not.
func IsConfigFile(name string) bool {
	if strings.HasPrefix(name, ".") || strings.ContainsAny(name, "/\\") {
		return false
	}
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}
