// Package parser reads JSON with comments into checked types and names every fault by line and column.
package parser
