# Every source file, one a line and sorted, so that branches merge without conflicts.

set(CORE_SOURCES
    src/balancer_cmd.cpp
    src/balancer_query.cpp
    src/binding_func.cpp
    src/caller_cmd.cpp
    src/caller_open.cpp
    src/caller_packet.cpp
    src/caller_send.cpp
    src/caller_tick.cpp
    src/codec_func.cpp
    src/config_check.cpp
    src/config_diff.cpp
    src/config_distance.cpp
    src/config_reader.cpp
    src/config_repeated.cpp
    src/config_view.cpp
    src/config_warn.cpp
    src/config_write.cpp
    src/core_func.cpp
    src/keyring_func.cpp
    src/packet_func.cpp
    src/placement_func.cpp
    src/replica_func.cpp
    src/replica_gossip.cpp
    src/replica_peers.cpp
    src/replica_reader.cpp
    src/replica_standing.cpp
    src/replica_store.cpp
    src/target_hint_func.cpp
    src/verdict_func.cpp
)

set(SHELL_SOURCES
    src/ctl_check.cpp
    src/ctl_diff.cpp
    src/ctl_func.cpp
    src/log_func.cpp
    src/settings_func.cpp
    src/udp_func.cpp
    src/version_func.cpp
)

set(PROGRAMS
    hawthorncroftctl
)

set(hawthorncroftctl_SOURCES src/ctl_main.cpp)

set(TEST_SOURCES
    bench/replica_fleet.cpp
    tests/balancer_test.cpp
    tests/caller_test.cpp
    tests/codec_test.cpp
    tests/config_test.cpp
    tests/ctl_test.cpp
    tests/main_test.cpp
    tests/placement_test.cpp
    tests/replica_test.cpp
    tests/settings_test.cpp
)

set(BENCHES
    core-bench
    replica-bench
)
set(core-bench_SOURCES bench/core_bench.cpp)
set(replica-bench_SOURCES
    bench/replica_bench.cpp
    bench/replica_fleet.cpp
)
