// Package examples holds the catalogues of both deployments with their sizes of today, for the demo, the
// stand-ins and the tests.
package examples

import _ "embed"

// Paddlemark is the catalogue of the raft race bibs.
//
//go:embed paddlemark/catalogue.ini
var Paddlemark string

// Guaman is the catalogue of the donkey ride tokens.
//
//go:embed guaman/catalogue.ini
var Guaman string
