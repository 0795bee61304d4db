package dgsettings

import (
	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

type (
	// Fault is one reason why a text is not accepted.
	Fault = dgtext.Fault
	// Faults lists what is wrong with one text and prints as "FILE:LINE: message".
	Faults = dgtext.Faults
	// Check is one check of a text with its documentation.
	Check = dgschema.Check
)

// ParseDeployment reads a deployment text. The name appears in the faults. A
// text with faults gives no Deployment.
func ParseDeployment(name string, text []byte) (*dandeliongap.Deployment, Faults) {
	doc, faults := inspect(name, text, dgschema.Deployment)
	if faults.Any() {
		return nil, faults
	}
	return buildDeployment(doc), Faults{File: name}
}

// ParseDaemon reads the settings of a daemon. The name appears in the faults. A
// text with faults gives the zero Daemon.
func ParseDaemon(name string, text []byte) (Daemon, Faults) {
	doc, faults := inspect(name, text, dgschema.Daemon)
	if faults.Any() {
		return Daemon{}, faults
	}
	return buildDaemon(doc), Faults{File: name}
}
