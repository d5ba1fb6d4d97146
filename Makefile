.PHONY: build test lint run measure-knowledge measure-store measure-view measure-copies measure-duties \
	measure-verdicts measure-partners measure-beside soak

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

# Histories of the node under faults, drawn from seeds, with all that it needs on this machine: SEEDS many from FIRST on,
# SECONDS of faults each (0 for none), SIDE of them at a time. A line a seed; fails where a rule is broken.
soak:
	cargo bench --locked --quiet --profile test --bench soak

# What inherited knowledge and the choice among servers gain: a line a figure, with its bar.
measure-knowledge:
	cargo bench --locked --bench knowledge

# What the store keeps under faults and how fast it writes, with real processes; beside the version before, built from
# the commit BEFORE in a work tree of its own. PART=speed, leader, replaced or histories measures one part; SMALL=1 less.
BEFORE ?= 6c2976b
measure-store:
	test -d target/before || git worktree add --detach target/before $(BEFORE)
	cd target/before && cargo build --release --locked --target-dir ../before-build
	SILLFLOW_BEFORE=$(CURDIR)/target/before-build/release/sillflow cargo bench --locked --bench store

# How soon a fleet knows what happens to it, and what that costs: machines in one process, and 100 real ones.
measure-view:
	cargo bench --locked --bench view

# What copies keep under faults and what they cost. PART=growth, cost, repair, losses or histories; SMALL=1
# less, COUNT=30 so many histories and losses (300 and 100 take most of two hours).
measure-copies:
	cargo bench --locked --bench copies
	cargo test --locked --test copies_model -- --ignored --nocapture

# What duties keep under faults and what they cost, in simulated time and with real processes. PART=histories, cost or
# processes measures one part; SMALL=1 less, COUNT=N so many histories, ROUNDS=N so many holders lost.
measure-duties:
	cargo bench --locked --bench duties
# What votes on servers gain and risk, on an emulated fleet. PART=speed, liars, worth, bytes or calm; SEEDS and HOURS (of
# all seeds together) set how much.
measure-verdicts:
	cargo bench --locked --bench verdicts
# What partners' routes cost, drawn sets held against the slow rule, and histories of sites that pass routes to each other:
# SETS=20 so many sets (else 1,000), COUNT=20 so many histories (else 200).
measure-partners:
	SETS=$(or $(SETS),1000) cargo bench --locked --bench partners
	COUNT=$(or $(COUNT),200) cargo test --locked --test partners_rules -- --nocapture
# What a node's part in a fleet costs its callers, on one core at full load, beside a node alone. PART=fleet, duties, votes or
# copies measures one; ROUNDS=N turns of each.
measure-beside:
	cargo bench --locked --bench beside
