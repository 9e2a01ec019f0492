# Build, test, lint and run; the commands behind them are Maven's and java's.
CONFIG ?= deploy/gearman.json

.PHONY: build test lint format run bench-gearman faults-gearman fleet-cost scale soak fleet-test kill-test conformance clean

build: ## the jar, without tests
	mvn -q -B -DskipTests package

test: ## build and all tests, as CI does
	mvn -B verify

lint: ## compiler lint, linter and formatter, as CI does; warnings are errors
	mvn -q -B clean test-compile checkstyle:check@lint spotless:check

format: ## writes the code in the form that lint asks for
	mvn -q -B spotless:apply

run: build ## one scheduler by the file in CONFIG
	java -jar target/plumpost.jar serve --config $(CONFIG)

bench-gearman: build ## load figures of the Gearman front, about five minutes
	tools/bench-gearman

faults-gearman: build ## 100,000 jobs with all faults at once, audited, about two minutes
	tools/faults-gearman

conformance: build ## the conformance suite over TCP, its table by packet type
	tools/conformance

scale: build ## what the roles cost by size, about 13 minutes; then the page's tables and plot
	java -jar target/plumpost.jar lab scale --seed $(or $(SEED),1) --json docs/capacity.json
	java -jar target/plumpost.jar lab scale --json docs/capacity.json --page docs/CAPACITY.md --plot docs/capacity.png

fleet-cost: build ## what a fleet of 3, 5 and 20 processes costs at rest, about four minutes
	for f in "--processes 3" "--processes 5" "--processes 5 --followers 15"; do \
	  java -jar target/plumpost.jar lab fleet $$f --rest 30 || exit 1; done

kill-test: build ## 1,000 faults on three processes whose orders are covered, over an hour; SEED, FAULTS may be set
	java -jar target/plumpost.jar lab fleet --processes 3 --kills $(or $(FAULTS),1000) --seed $(or $(SEED),1) --seconds 10800

soak: build ## fault soaks with real processes, 40 s each; SEED, SEEDS, PROCESSES may be set
	java -jar target/plumpost.jar lab soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),20) \
	  --processes $(or $(PROCESSES),12) --faults 3

fleet-test: build ## 500 changes of owner by random faults on five processes, about half an hour; SEED, CHANGES may be set
	java -jar target/plumpost.jar lab fleet --processes 5 --changes $(or $(CHANGES),500) --seed $(or $(SEED),1) \
	  --html target/fleet-test.html

clean:
	mvn -q -B clean
