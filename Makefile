GO ?= go
TOOL = cd tools && GOWORK=off $(GO) tool
PACKAGES = ./...

.PHONY: build demo faults test lint bench generate

build:
	$(GO) build -o bin/ ./cmd/savoryloft ./cmd/loftctl

demo: build
	scripts/demo.sh

faults: build
	scripts/faults.sh

test:
	scripts/test.sh

lint:
	@out="$$($(TOOL) gofumpt -l $$(cd .. && git ls-files -co --exclude-standard "*.go" | sed "s#^#../#"))"; test -z "$$out" || { echo "gofumpt would change:"; echo "$$out"; exit 1; }
	@$(TOOL) revive -set_exit_status -config ../revive.toml ../...
	$(GO) vet $(PACKAGES)

bench:
	$(GO) test -run '^$$' -bench . -benchmem -count 3 $(PACKAGES)

GENERATE = go-jsonschema --tags json,msgpack --struct-name-from-title --package savoryloft

generate:
	@for s in settings records platform peers load mesh duties; do \
		sed -E 's/(Duration", "nillable": true\}), "default": "[^"]*"/\1/' schema/$$s.json > tools/$$s.json; \
		( $(TOOL) $(GENERATE) --output ../$${s}_generated.go $$s.json ) || exit 1; \
		rm tools/$$s.json; \
	done
	@( $(TOOL) gofumpt -w $$(cd .. && ls *_generated.go | sed 's#^#../#') )

.PHONY: format
format:
	@$(TOOL) gofumpt -w $$(cd .. && git ls-files -co --exclude-standard '*.go' | sed 's#^#../#')

.PHONY: soak
soak:
	SOAK_SEEDS="$(SEEDS)" SOAK_SECONDS="$(SECONDS)" $(GO) test -count 1 -timeout 60m -v -run TestSoak ./soaker/
