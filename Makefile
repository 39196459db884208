.PHONY: build check test bench demo generate

build:
	go build -o pistachiogap .

check:
	bash .ci/run

test:
	go test -race ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

demo:
	go run . demo

# Needs protoc; the result is committed.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	protoc --go_out=. --twirp_out=. --go_opt=module=github.com/pistachiogap/pistachiogap --twirp_opt=module=github.com/pistachiogap/pistachiogap messenger/peer.proto
