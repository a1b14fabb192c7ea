MODULES := jay platform jayfieldd jayfield jaybench
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
LINT_VERSION := v2.15.0
LINT := $(CURDIR)/bin/golangci-lint
GOPLS_VERSION := v0.23.0
GOPLS := $(CURDIR)/bin/gopls
SEED ?= 1
# On arm64 the race detector itself crashes in these tests from time to time (tsan_rtl.cpp:346, epoch); there they run
# without it only, by the target unit.
RACE_SKIP := $(if $(filter aarch64 arm64,$(shell uname -m)),-skip '^(TestPolicyIsInForceInTimeBehindCutWatcher|TestEntriesAfterAnHour)$$')

.PHONY: build demo lint mutations race soak test unit vet

build:
	go build -o bin/jayfieldd ./jayfieldd
	go build -o bin/jayfield ./jayfield
	go build -o bin/jaybench ./jaybench

demo:
	go run ./jaybench demo
	go run ./jaybench demo --platform

test: vet unit race

race:
	go test -count=1 -race $(RACE_SKIP) $(PACKAGES)

unit:
	go test -count=1 $(PACKAGES)

vet:
	go vet $(PACKAGES)

lint: $(LINT)
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); echo "run gofmt -w on these files"; exit 1; }
	for module in $(MODULES); do (cd $$module && $(LINT) run ./...) || exit 1; done

$(LINT):
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

# The language server, for renames that follow every use.
$(GOPLS):
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

mutations:
	tools/mutate

# Long randomised runs of the state machines; SEED chooses the runs.
soak:
	cd jay && go test -count=1 ./jayconfig ./jaylease ./jayorder -rapid.checks=50000 -rapid.steps=200 -rapid.seed=$(SEED) -v
	cd jay && JAYFIELD_SOAK_SEEDS=3000 JAYFIELD_SOAK_START=$(SEED) go test -count=1 ./jayonce -run TestWorkRunsAtMostOnce -v
