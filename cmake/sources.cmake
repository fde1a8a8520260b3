# Every source file, one a line and sorted, so that branches merge without conflicts.

set(CORE_SOURCES
    src/binding_func.cpp
    src/codec_func.cpp
    src/config_view.cpp
    src/control_func.cpp
    src/core_func.cpp
    src/keyring_func.cpp
    src/packet_func.cpp
    src/placement_func.cpp
    src/verdict_func.cpp
)

set(SHELL_SOURCES
    src/control_client.cpp
    src/control_server.cpp
    src/http2_client.cpp
    src/http2_connection.cpp
    src/http2_server.cpp
    src/metrics_base.cpp
    src/version_func.cpp
)

set(STANDIN_SOURCES
    standin/standin_func.cpp
    standin/standin_platform.cpp
    standin/standin_target.cpp
    standin/standin_target_type.cpp
)

set(PROGRAMS
    standin-platform
    standin-target
)

set(standin-platform_SOURCES standin/standin_platform_main.cpp)
set(standin-target_SOURCES standin/standin_target_main.cpp)

set(TEST_SOURCES
    tests/codec_test.cpp
    tests/control_test.cpp
    tests/http2_test.cpp
    tests/main_test.cpp
    tests/metrics_test.cpp
    tests/placement_test.cpp
    tests/standin_test.cpp
)

set(BENCHES
)
