// Package dgplatform is the client of the platform's object API and VM list.
package dgplatform
