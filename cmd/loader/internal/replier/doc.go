// Package replier is the stand-in for backend servers and workers. It counts every start itself, so that checks do not
// depend on the records of the system under test.
package replier
