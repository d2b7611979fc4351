package strict

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package. It wraps a value of type Problems.
type Error struct{ lagoonhead.Fault }

// Problem is one fault of a document.
type Problem struct {
	// File is the name given to Open.
	File string `json:"file"`
	// Line and Column count from 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, for example "engines[2].slots"; it is empty
	// for the document itself.
	Field string `json:"field,omitempty"`
	// Message describes the fault.
	Message string `json:"message"`
	// Accepted describes the accepted values; it may be empty.
	Accepted string `json:"accepted,omitempty"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	if p.Accepted != "" {
		b.WriteString("; accepted: " + p.Accepted)
	}
	return b.String()
}

// Problems are the faults of one document in line order.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// maxListed is the maximum number of accepted values that a message lists.
const maxListed = 12

// JoinAccepted joins the accepted values for a message. It lists at most 12 of them and the
// number of the others.
func JoinAccepted(accepted []string) string {
	if len(accepted) == 0 {
		return "none is defined"
	}
	if len(accepted) <= maxListed {
		return strings.Join(accepted, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(accepted[:maxListed], ", "), len(accepted)-maxListed)
}
