// Package replier implements stand-ins for backend servers and workers. They count every task start themselves, so that
// checks do not depend on the records of the system under test.
package replier
