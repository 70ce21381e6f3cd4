# Build, test, look and run; `make` alone lists the goals.
.PHONY: help build test lint run demo incident lab truth bench sites ci

# The bench's kit, which is not part of the repository.
KIT = ../given/kit
BESIDE = real.json wire.json unlock.txt

help:
	@echo "make demo      a first look: a stand-in fleet, two supervisors and the console; ends with q"
	@echo "make test      all tests, as CI runs them"
	@echo "make build     the release binaries, in target/release"
	@echo "make lint      formatting and clippy, warnings are errors"
	@echo "make run       one supervisor in the foreground; LB_CONFIG must name its configuration"
	@echo "make incident  a scripted incident of some 80 seconds; records and report in target/incident"
	@echo "make lab       an experiment on the fleet model, half a minute; its report in target/lab/picking"
	@echo "make truth     the model against the program on loopback, some three minutes"
	@echo "make bench     the measurements of the store, some five minutes"
	@echo "make sites     lays the bench's own files beside the deployments of deploy/sites; KIT names the bench's kit"
	@echo "make ci        the whole verdict on a checkout"

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked --all-targets

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings

run: build
	exec target/release/chutegrade

demo: build
	exec target/release/chutegrade-demo

incident: build
	target/release/chutegrade-incident
	target/release/chutegrade report target/incident/records --out target/incident/report.html

lab: build
	target/release/chutegrade lab run experiments/picking.txtpb --out target/lab/picking

truth: build
	target/release/chutegrade-truth

bench:
	cargo bench --locked -p chutegrade-records

sites:
	@for file in $(BESIDE); do test -r $(KIT)/sites/$$file || { echo "make sites: the bench's kit is not at $(KIT), or has no sites/$$file; name it with KIT=DIRECTORY" >&2; exit 1; }; done
	@for file in $(BESIDE); do install -m 644 $(KIT)/sites/$$file deploy/sites/$$file; done

ci:
	bash .ci/run
