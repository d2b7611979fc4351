// Package eventqueue orders the events of simulations that tests play.
package eventqueue
