# Build, test, lint and run; the commands behind them are Maven's and java's.
CONFIG ?= deploy/gearman.json

.PHONY: build test lint run clean

build: ## the jar, without tests
	mvn -q -B -DskipTests package

test: ## build and all tests, as CI does
	mvn -B verify

lint: ## compiler lint, warnings are errors
	mvn -q -B clean test-compile

run: build ## one scheduler by the file in CONFIG
	java -jar target/plumpost.jar serve --config $(CONFIG)

clean:
	mvn -q -B clean
