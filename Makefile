# Shortcuts for the Maven and java commands that build, test, lint and run the scheduler.
CONFIG ?= deploy/gearman.json

.PHONY: build test lint format run bench-gearman faults-gearman fleet-cost scale soak fleet-test kill-test conformance clean

build: ## builds the jar without running tests
	mvn -q -B -DskipTests package

test: ## builds and runs all tests, as CI does
	mvn -B verify

lint: ## compiler warnings, Checkstyle and formatter check, as in CI; warnings are errors
	mvn -q -B clean test-compile checkstyle:check@lint spotless:check

format: ## reformats the code as lint requires
	mvn -q -B spotless:apply

run: build ## runs one scheduler with the configuration file CONFIG
	java -jar target/plumpost.jar serve --config $(CONFIG)

bench-gearman: build ## load test of the Gearman front, about five minutes
	tools/bench-gearman

faults-gearman: build ## 100,000 jobs with all kinds of fault, checked against the rules, about two minutes
	tools/faults-gearman

conformance: build ## conformance suite over TCP; prints a table by packet type
	tools/conformance

scale: build ## cost of each role by size, about 13 minutes; writes the tables and plot of the capacity page
	java -jar target/plumpost.jar lab scale --seed $(or $(SEED),1) --json docs/capacity.json
	java -jar target/plumpost.jar lab scale --json docs/capacity.json --page docs/CAPACITY.md --plot docs/capacity.png

fleet-cost: build ## cost of an idle fleet of 3, 5 and 20 processes, about four minutes
	for f in "--processes 3" "--processes 5" "--processes 5 --followers 15"; do \
	  java -jar target/plumpost.jar lab fleet $$f --rest 30 || exit 1; done

kill-test: build ## 1,000 faults on three processes with covered orders, over an hour; SEED, FAULTS may be set
	java -jar target/plumpost.jar lab fleet --processes 3 --kills $(or $(FAULTS),1000) --seed $(or $(SEED),1) --seconds 10800

soak: build ## fault soak tests with real processes, 40 s each; SEED, SEEDS, PROCESSES may be set
	java -jar target/plumpost.jar lab soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),20) \
	  --processes $(or $(PROCESSES),12) --faults 3

fleet-test: build ## 500 owner changes caused by random faults on five processes, about half an hour; SEED, CHANGES may be set
	java -jar target/plumpost.jar lab fleet --processes 5 --changes $(or $(CHANGES),500) --seed $(or $(SEED),1) \
	  --html target/fleet-test.html

clean:
	mvn -q -B clean
