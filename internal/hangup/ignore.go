//go:build cgo && linux

package hangup

import "C" // builds ignore.c
