// Package acceptor accepts the connections of a process under the budget of package budgeter. It counts what requests hold while
// they arrive, on every listener alike, and refuses or closes what the budget evicts. It is used with net/http, fasthttp and
// plain connections.
package acceptor
