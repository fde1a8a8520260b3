# Every source file, one a line and sorted, so that branches merge without conflicts.

set(CORE_SOURCES
    src/binding_func.cpp
    src/codec_func.cpp
    src/config_check.cpp
    src/config_distance.cpp
    src/config_reader.cpp
    src/config_repeated.cpp
    src/config_view.cpp
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
    src/verdict_func.cpp
)

set(SHELL_SOURCES
    src/version_func.cpp
)

set(PROGRAMS
)

set(TEST_SOURCES
    bench/replica_fleet.cpp
    tests/codec_test.cpp
    tests/config_test.cpp
    tests/main_test.cpp
    tests/placement_test.cpp
    tests/replica_test.cpp
)

set(BENCHES
    replica-bench
)

set(replica-bench_SOURCES
    bench/replica_bench.cpp
    bench/replica_fleet.cpp
)
