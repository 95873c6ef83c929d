// Package limiter shares slots between teams by weight, caps their running tasks and budgets retries. It is pure.
package limiter
