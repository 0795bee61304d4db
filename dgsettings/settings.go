package dgsettings

import (
	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

type (
	// Fault is one reason why a text is rejected.
	Fault = dgtext.Fault
	// Faults lists the faults of one text and formats each as "FILE:LINE: message".
	Faults = dgtext.Faults
	// Check is one check of a text with its documentation.
	Check = dgschema.Check
)

// ParseDeployment parses and checks a deployment text. The name identifies the
// text in the faults. If there are faults, the Deployment is nil.
func ParseDeployment(name string, text []byte) (*dandeliongap.Deployment, Faults) {
	doc, faults := parseAndCheck(name, text, dgschema.Deployment)
	if faults.Any() {
		return nil, faults
	}
	return buildDeployment(doc), Faults{File: name}
}

// ParseDaemon parses and checks the settings of a daemon. The name identifies the
// text in the faults. If there are faults, the Daemon is the zero value.
func ParseDaemon(name string, text []byte) (Daemon, Faults) {
	doc, faults := parseAndCheck(name, text, dgschema.Daemon)
	if faults.Any() {
		return Daemon{}, faults
	}
	return buildDaemon(doc), Faults{File: name}
}
