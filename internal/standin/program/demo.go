package program

var demoVerb = verb{name: "demo"}
