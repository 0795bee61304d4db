// Package dgwire defines the messages and the RPC service for calls between the VMs
// of the tier. peer.pb.go and peer.twirp.go are generated from peer.proto and
// committed, so that a build needs no code generator.
package dgwire

//go:generate go build -C ../tools -o /tmp/dandeliongap-tools/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//go:generate protoc --plugin=/tmp/dandeliongap-tools/protoc-gen-go --plugin=/tmp/dandeliongap-tools/protoc-gen-twirp --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
