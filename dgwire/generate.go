// Package dgwire holds the messages and the service that the system's own
// processes use between each other. The code in peer.pb.go and peer.twirp.go is
// generated from peer.proto and committed, so that the build needs no generator.
package dgwire

//go:generate go build -C ../tools -o /tmp/dandeliongap-tools/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//go:generate protoc --plugin=/tmp/dandeliongap-tools/protoc-gen-go --plugin=/tmp/dandeliongap-tools/protoc-gen-twirp --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
