// Package runner builds one VM of the tier from its settings, runs it, and stops it. A stopping VM lets open requests end
// within the grace, and cuts off those that are still open after it.
//
// A VM has one of two roles. Without routing settings it serves searches and orders, and reads the platform of package
// watcher. With them it serves routes on the users' platform, and reads that platform's store (package platform).
package runner
