// Package dgsettings reads the INI texts of the project: the deployment text of
// operators and the settings of a daemon.
package dgsettings
