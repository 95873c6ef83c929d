// Package logger writes structured log lines without ever blocking the caller.
package logger
