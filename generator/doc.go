// Package generator turns a team's questionnaire into its configuration,
// and explains each value by the answer from which it follows.
package generator
