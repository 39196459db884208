// Package runner builds one VM of the tier from its settings, runs it, and ends it without cutting a request.
package runner
