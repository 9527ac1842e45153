// Package standin holds small stand-ins for the systems outside this project: model engines, plain services and the platform's
// log, VM list and weight store. They exist for tests, demos and experiments.
package standin
