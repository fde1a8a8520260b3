# Every source file, one a line and sorted, so that branches merge without conflicts.

set(CORE_SOURCES
    src/admission_cmd.cpp
    src/admission_query.cpp
    src/agent_core.cpp
    src/agent_event_cmd.cpp
    src/agent_open_cmd.cpp
    src/agent_outcome_cmd.cpp
    src/agent_query.cpp
    src/agent_request_cmd.cpp
    src/agent_stream_cmd.cpp
    src/agent_timer_cmd.cpp
    src/binding_func.cpp
    src/codec_func.cpp
    src/config_view.cpp
    src/core_func.cpp
    src/dedup_cmd.cpp
    src/keyring_func.cpp
    src/packet_func.cpp
    src/placement_func.cpp
    src/verdict_func.cpp
)

set(SHELL_SOURCES
    src/version_func.cpp
)

set(PROGRAMS
)

set(TEST_SOURCES
    tests/admission_test.cpp
    tests/agent_test.cpp
    tests/codec_test.cpp
    tests/dedup_test.cpp
    tests/main_test.cpp
    tests/placement_test.cpp
)

set(BENCHES
)
