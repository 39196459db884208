// Package generator turns a team's questionnaire into its configuration,
// and explains its main values by the answers from which they follow.
package generator
