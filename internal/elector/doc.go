// Package elector decides which member of a group owns its failure domain.
package elector
