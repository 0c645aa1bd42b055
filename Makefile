# The usual targets. `make ci` is what CI runs.
GOLANGCI_LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
PROTOC_GEN_GO_VERSION := v1.36.12

.PHONY: build test race lint format gopls generate golden demo bench ci

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

lint:
	golangci-lint run

format:
	golangci-lint fmt

# gopls renames through all packages. `.ci/run` installs the linter.
gopls:
	go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# generate needs protoc (Debian: protobuf-compiler); the build doesn't, since
# generated code is committed.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	go install github.com/twitchtv/twirp/protoc-gen-twirp
	protoc -I messenger/peerpb --go_out=paths=source_relative:messenger/peerpb --twirp_out=paths=source_relative:messenger/peerpb messenger/peerpb/peer.proto messenger/peerpb/quota.proto messenger/peerpb/rollout.proto

# golden writes the golden files anew; review the difference before committing.
golden:
	go test ./... -run Golden -update

demo:
	go run ./cmd/almondstep demo

bench:
	go test -run '^$$' -bench . -benchmem ./...

ci:
	bash .ci/run
