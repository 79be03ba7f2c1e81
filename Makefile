# Targets for people and for CI. `make demo` and `make test` install what they
# need; everything is put into .bin, which git ignores.

GO ?= go
BIN := $(CURDIR)/.bin
LINT_VERSION := v2.12.0
LINT := $(BIN)/golangci-lint
CROWD_TESTS := ./platform/soak ./internal/standin/processes
PROGRAMS := slatebridge slatebridge-box slatebridge-gateway slatebridge-controller slatebridge-standin

.PHONY: all build demo test lint format generate docs golden bench clean

all: lint test

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ $(addprefix ./cmd/,$(PROGRAMS))

# demo runs the whole system on this machine and checks every answer. With
# KEEP=1 the system then stays until enter is pressed.
demo: build
	bash platform/demo/demo.sh $(BIN)
	KEEP=$(KEEP) bash scripts/demo.sh $(BIN)

# test runs every test with the race detector. Plays of hundreds of boxes in virtual time take
# minutes of a busy machine. Tests of crowds of callers measure the memory of the programs: they run
# afterwards, one at a time.
test:
	@status=0; \
	$(GO) test -race -timeout 30m -skip '^TestCrowd' ./... || status=1; \
	$(GO) test -timeout 30m -run '^TestCrowd' -p 1 -parallel 1 $(CROWD_TESTS) || status=1; \
	exit $$status

# The linter's cache stays in this checkout: results cached by another checkout name files there,
# and are reported, generated code included, once that checkout is gone.
lint: export GOLANGCI_LINT_CACHE := $(BIN)/lint-cache
lint: $(LINT)
	$(LINT) run --allow-parallel-runners ./...
	$(LINT) fmt --diff ./...

format: $(LINT)
	$(LINT) fmt ./...

$(LINT):
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# generate makes the protobuf and twirp code anew. It needs protoc, which
# Debian has in the package protobuf-compiler.
generate:
	GOBIN=$(BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(BIN) $(GO) install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
	PATH=$(BIN):$$PATH protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer/peer.proto

# docs makes the pages that come from data files.
docs:
	$(GO) test ./internal/docs -update

# golden makes the expected files of tests anew.
golden:
	$(GO) test ./... -run Golden -update

# bench prints the measurements that the docs quote.
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf $(BIN) .demo
