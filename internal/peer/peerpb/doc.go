// Package peerpb holds the protobuf messages between the entry VMs.
//
// # Usage
//
//	fr := &peerpb.Frame{Body: &peerpb.Frame_ClaimAsk{ClaimAsk: &peerpb.ClaimAsk{Key: key}}}
//	data, err := proto.Marshal(fr)
//
// # Generated files
//
// The generated files are committed; a build needs no generator. After a
// change of a .proto file run, from the root of the repository:
//
//	protoc --plugin=protoc-gen-go="$(go tool -n protoc-gen-go)" --go_out=. --go_opt=module=alderdyke internal/peer/peerpb/*.proto
package peerpb
