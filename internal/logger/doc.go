// Package logger writes structured log lines without ever making their caller wait.
package logger
