// Package runner builds one VM of the tier from its settings, runs it, and stops it without cutting off a request.
package runner
