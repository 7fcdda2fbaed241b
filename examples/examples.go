// Package examples embeds the catalogues of the two deployments, Paddlemark and Guaman, at their current sizes. The
// demo, the stand-ins and the tests use them. The package only holds the texts and does not parse them.
package examples

import _ "embed"

// Paddlemark is the catalogue of the Paddlemark deployment, which serves the bibs of raft races.
//
//go:embed paddlemark/catalogue.ini
var Paddlemark string

// Guaman is the catalogue of the Guaman deployment, which serves the tokens of donkey rides.
//
//go:embed guaman/catalogue.ini
var Guaman string
