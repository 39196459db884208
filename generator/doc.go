// Package generator turns a team's questionnaire into its configuration, and explains each value by the answer that it came from.
package generator
