// Package auditor renders the audit trail of the configuration: the accepted changes, which every VM learns with the
// versions, and the changes that this VM refused.
package auditor
