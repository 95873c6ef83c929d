// Package auditor renders the audit trail of configuration changes: the accepted ones, which every entry VM receives
// together with the configuration, and those that this entry VM refused.
package auditor
