// Package follower reads the log, folds it and keeps what peers need to fold it too.
package follower
