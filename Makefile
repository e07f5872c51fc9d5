# What the README's test command does, by part.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# The dispatcher with the example's configuration; examples/README.md says what to start beside it.
run: build
	RELAY_CONFIG=examples/config.json target/release/sagetrail
