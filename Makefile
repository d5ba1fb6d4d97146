.PHONY: build test lint run measure-knowledge

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --all-targets --locked -- -D warnings

# PROXY_CONFIG names the platform's file; SILLFLOW_OPERATOR, if set, the operator's.
run: build
	target/release/sillflow

# What inherited knowledge and the choice among servers gain: a line a figure, with its bar.
measure-knowledge:
	cargo bench --locked --bench knowledge
