// Package parser decodes JSON into types that check their own values. Decode allows comments and reports faults with
// their line and column. DecodeStrict takes plain JSON and reports only the first problem, without line and column.
package parser
