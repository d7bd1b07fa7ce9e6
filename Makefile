# Folders hold one library or program each; every *.c file in them is built.
# regress/test_*.c, bench/bench_*.c and standins/*.c are one program a file;
# regress/lib_*.c and bench/lib_*.c are linked into each program of their folder.

BUILD ?= build
CC ?= cc
PKGS = libmicrohttpd libcurl yaml-0.1 log4c libtirpc jansson libxxhash libcrypto zlib
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
       -Wpointer-arith -Wvla -Wno-unused-parameter
OPT ?= -O2 -g
# Hidden symbols cannot replace those of a library: libyaml has a yaml_free() too.
CFLAGS = -std=gnu11 -fvisibility=hidden $(OPT) $(WARN) $(SAN) -D_GNU_SOURCE -MMD -MP
CPPFLAGS = -I. $(shell pkg-config --cflags $(PKGS))
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lev -lm
CHECK_LIBS = $(shell pkg-config --libs check)
LDFLAGS = $(SAN)

# The generated XDR code does not meet the warning set.
GEN_WARN = -Wno-unused-variable -Wno-error

LIBDIRS = base proto core io platform
lib_src = $(sort $(wildcard $(1)/*.c))
objs = $(patsubst %.c,$(BUILD)/%.o,$(call lib_src,$(1)))

LIB_OBJS = $(foreach d,$(LIBDIRS),$(call objs,$(d)))
PROGS = $(BUILD)/bin/carawayfrontd $(BUILD)/bin/carawayctl
STANDINS = $(patsubst standins/%.c,$(BUILD)/bin/%,$(sort $(wildcard standins/*.c)))
TESTS = $(patsubst regress/%.c,$(BUILD)/bin/%,$(sort $(wildcard regress/test_*.c)))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bin/%,$(sort $(wildcard bench/bench_*.c)))
TEST_LIB = $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard regress/lib_*.c)))
BENCH_LIB = $(patsubst %.c,$(BUILD)/%.o,$(sort $(wildcard bench/lib_*.c regress/lib_sched_*.c)))
LIB = $(BUILD)/libcaraway.a

.PHONY: all mutants tests check fuzz fuzzers demo bench format format-check lint xdr man-lint clean install
.SECONDARY:

all: $(PROGS) $(STANDINS)

$(LIB): $(LIB_OBJS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	@echo '  CC   $<'; $(CC) $(CPPFLAGS) $(CFLAGS) $(GEN_WARN) -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo '  CC   $<'; $(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

include carawayfrontd/Makefile carawayctl/Makefile

$(BUILD)/bin/test_%: $(BUILD)/regress/test_%.o $(TEST_LIB) $(LIB)
	@mkdir -p $(@D)
	@echo '  LINK $@'; $(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB) $(CHECK_LIBS) $(LDLIBS)

# It calls a gateway, so it needs a part of the daemon.
$(BUILD)/bin/test_relay: $(BUILD)/carawayfrontd/relay.o $(BUILD)/carawayfrontd/relay_agent.o \
	$(BUILD)/carawayfrontd/agent.o $(BUILD)/carawayfrontd/node_id.o

$(BUILD)/bin/test_dag_client: $(BUILD)/carawayfrontd/dag_client.o \
	$(BUILD)/carawayfrontd/leader_wait.o $(BUILD)/carawayfrontd/node_id.o

$(BUILD)/bin/test_fuzz_worker: $(BUILD)/carawayfrontd/worker_report.o \
	$(BUILD)/carawayfrontd/poll_digest.o

$(BUILD)/bin/test_fuzz_yaml: $(BUILD)/carawayfrontd/settings.o

$(BUILD)/bin/test_settings: $(BUILD)/carawayfrontd/settings.o

$(BUILD)/bin/test_command_batch: $(BUILD)/carawayfrontd/command_batch.o

$(BUILD)/bin/test_org_metrics: $(BUILD)/carawayfrontd/org_metrics.o

$(BUILD)/bin/test_leader_client: $(BUILD)/carawayfrontd/leader_client.o

$(BUILD)/bin/test_member_join: $(BUILD)/carawayfrontd/member_join.o \
	$(BUILD)/carawayfrontd/leader_client.o $(BUILD)/carawayfrontd/leader_propose.o

$(BUILD)/bin/bench_%: $(BUILD)/bench/bench_%.o $(BENCH_LIB) $(LIB)
	@mkdir -p $(@D)
	@echo '  LINK $@'; $(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

# It measures in the virtual time of the tests.
$(BUILD)/bin/bench_replica: $(BUILD)/regress/lib_cluster.o

$(BUILD)/bin/%: $(BUILD)/standins/%.o $(LIB)
	@mkdir -p $(@D)
	@echo '  LINK $@'; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# The daemon with a disk that stalls on request.
STALLD = $(BUILD)/bin/carawayfrontd-stall
$(STALLD): $(BUILD)/regress/stall_disk.o $(call objs,carawayfrontd) $(LIB)
	@mkdir -p $(@D)
	@echo '  LINK $@'; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

tests: $(TESTS) $(STALLD)

check: all tests
	BUILD=$(BUILD) sh regress/run.sh

# Longer runs of the fuzz programs, FUZZ_SECONDS for each kind of message.
FUZZ_SECONDS ?= 60
FUZZ_SEED ?= 1
FUZZERS = $(filter $(BUILD)/bin/test_fuzz_%,$(TESTS))

fuzzers: $(FUZZERS)

fuzz:
	$(MAKE) BUILD=build-san OPT='-O1 -g' \
	  SAN='-fsanitize=address,undefined -fno-omit-frame-pointer' fuzzers
	BUILD=build-san FUZZ_SECONDS=$(FUZZ_SECONDS) FUZZ_SEED=$(FUZZ_SEED) sh regress/fuzz.sh

# Each guarded mechanism is taken out in a copy; its test must fail.
mutants: all tests
	sh regress/mutants.sh

demo:
	sh examples/packages.sh
	$(MAKE) all
	BUILD=$(BUILD) sh examples/demo.sh

bench: all $(BENCHES)
	BUILD=$(BUILD) sh bench/run.sh

C_FILES = $(filter-out proto/%,$(wildcard */*.c */*.h))

format:
	clang-format -i $(C_FILES)

format-check:
	@clang-format --dry-run -Werror $(C_FILES)

lint:
	@printf '%s\n' $(filter %.c,$(C_FILES)) | xargs -P 8 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- -std=gnu11 -D_GNU_SOURCE $(CPPFLAGS) 2>/dev/null' lint
	@sh regress/layering.sh

man-lint:
	mandoc -T lint -W warning carawayfrontd/*.8 carawayfrontd/*.5 carawayctl/*.1

xdr:
	sh proto/generate.sh

install: all
	install -d $(DESTDIR)/usr/sbin $(DESTDIR)/usr/bin $(DESTDIR)/usr/share/man/man1 \
	  $(DESTDIR)/usr/share/man/man5 $(DESTDIR)/usr/share/man/man8
	install -m 755 $(BUILD)/bin/carawayfrontd $(DESTDIR)/usr/sbin
	install -m 755 $(BUILD)/bin/carawayctl $(DESTDIR)/usr/bin
	install -m 644 carawayctl/*.1 $(DESTDIR)/usr/share/man/man1
	install -m 644 carawayfrontd/*.5 $(DESTDIR)/usr/share/man/man5
	install -m 644 carawayfrontd/*.8 $(DESTDIR)/usr/share/man/man8

clean:
	rm -rf $(BUILD)

-include $(wildcard $(BUILD)/*/*.d)
