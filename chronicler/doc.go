// Package chronicler writes log lines without ever holding up who logs them.
package chronicler
