GO ?= go
.PHONY: all build fmt-check vet lint unit test demo soak clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

fmt-check:
	@out="$$(gofmt -l cmd pkg internal platform)"; if [ -n "$$out" ]; then echo "gofmt needed: $$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# Passes over exactly the tests that KNOWN-RED.txt lists, and prints them.
unit:
	bash scripts/unit.sh

test: fmt-check vet lint build unit

demo: build
	bash scripts/demo.sh

# Random faults against nodes on the users' platform: make soak SEED=n SECONDS=n
SEED ?= 1
SECONDS ?= 60
soak: build
	bin/mlsoak --seed $(SEED) --length $(SECONDS)s

clean:
	rm -rf bin out
