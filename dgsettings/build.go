package dgsettings

import (
	"dandeliongap.example/dandeliongap"
	"dandeliongap.example/dandeliongap/dgsettings/dgschema"
	"dandeliongap.example/dandeliongap/dgsettings/dgtext"
)

func inspect(name string, text []byte, _ *dgschema.Schema) (*dgtext.Document, Faults) {
	doc := dgtext.Read(text)
	return doc, dgtext.NewFaults(name, append(doc.Problems,
		Fault{Line: 1, Check: "unfinished", Message: "this version accepts no text yet"}))
}

func buildDeployment(*dgtext.Document) *dandeliongap.Deployment { return nil }

func buildDaemon(*dgtext.Document) Daemon { return DefaultDaemon() }
