package config

import "strings"

// IsConfigFile tells whether a file of that name in an operator's folder is a
// configuration file. Hidden files and editors' copies are not.
func IsConfigFile(name string) bool {
	if strings.HasPrefix(name, ".") || strings.ContainsAny(name, "/\\") {
		return false
	}
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}
