// Package parser decodes JSON with comments into checked types and reports every fault with its line and column.
package parser
