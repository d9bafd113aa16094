# Tools are pinned here and run through the Go module proxy.

# The linter caches its findings with the paths of the checkout that it ran in.
# A cache shared with a checkout that is gone reports lines that a nolint
# comment exempts, so each checkout has its own.
export GOLANGCI_LINT_CACHE := $(CURDIR)/bin/golangci-lint-cache

GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.12.2
GOFUMPT := go run mvdan.cc/gofumpt@v0.9.2
GOPLS := go run golang.org/x/tools/gopls@v0.23.0
BIN := $(CURDIR)/bin

.PHONY: check fmt fmt-check lint vet build test demo generate soak fuzz rename review

check: fmt-check vet lint build test demo

fmt:
	$(GOFUMPT) -w -extra $$(git ls-files -co --exclude-standard '*.go' | grep -v '^gen/')

fmt-check:
	@unformatted=$$($(GOFUMPT) -l -extra $$(git ls-files -co --exclude-standard '*.go' | grep -v '^gen/')); \
	if [ -n "$$unformatted" ]; then echo "run make fmt: $$unformatted"; exit 1; fi

# Renames an identifier in the whole module: make rename AT=FILE:LINE:COL TO=NAME.
rename:
	$(GOPLS) rename -w $(AT) $(TO)

vet:
	go vet ./...

lint:
	$(GOLANGCI) run --allow-parallel-runners ./...

build:
	go build ./...

test:
	./.ci/test

demo:
	go run ./cmd/filbertmux demo

# Randomised tests with more seeds: make soak SEEDS=1000. A failing run prints
# the command that replays its seed.
# The last command runs a deployment for MINUTES minutes and leaves a report.
SEEDS ?= 200
SEED ?= 1
MINUTES ?= 10
RANDOMISED := ./serve/claim ./serve/claimlog ./daemons/entry/lifecycle ./rankgroup/lease ./rankgroup/mapswitch ./rankgroup/switchover ./serve/quarantine ./config/table ./config/tablesync
soak:
	FILBERTMUX_SEEDS=$(SEEDS) go test -count=1 -timeout 120m $(RANDOMISED)
	FILBERTMUX_SEEDS=$(SEEDS) go test -race -count=1 -timeout 120m -run TestRandomFaults ./measure/scenarios
	go test -count=1 ./balance/routing ./serve/fairqueue ./balance/membership ./rankgroup/experts ./serve/stream -rapid.checks=$$((100 * $(SEEDS)))
	go run ./cmd/filbertmux-bench soak --seed $(SEED) --minutes $(MINUTES)

# Each fuzz test for a bounded time.
FUZZTIME ?= 20s
fuzz:
	go test ./config/table -run '^$$' -fuzz FuzzParseCSV -fuzztime $(FUZZTIME)
	go test ./config/table -run '^$$' -fuzz FuzzRecords -fuzztime $(FUZZTIME)
	go test ./rankgroup/experts -run '^$$' -fuzz FuzzDecide -fuzztime $(FUZZTIME)
	go test ./serve/eventstream -run '^$$' -fuzz FuzzSplitter -fuzztime $(FUZZTIME)
	go test ./daemons/gateway -run '^$$' -fuzz FuzzRoute -fuzztime $(FUZZTIME)
	go test ./daemons/gateway/upstream -run '^$$' -fuzz FuzzReadResponse -fuzztime $(FUZZTIME)
	for f in FuzzRecords FuzzEntries FuzzSettings FuzzCall FuzzConfigDocument; do \
		go test ./platform -run '^$$' -fuzz "^$$f\$$" -fuzztime $(FUZZTIME) || exit 1; done

# The cases of the independent review, with a line for each. A run takes about 70 s.
review:
	./.ci/review

# Needs protoc; the generated code is committed, so a build does not.
generate:
	mkdir -p $(BIN)
	GOBIN=$(BIN) go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(BIN) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
	PATH=$(BIN):$$PATH protoc -I proto --go_out=gen --go_opt=paths=source_relative \
		--connect-go_out=gen --connect-go_opt=paths=source_relative proto/filbertmux/v1/*.proto
