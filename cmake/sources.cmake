# Every source file, one a line and sorted, so that branches merge without conflicts.

set(CORE_SOURCES
    src/binding_func.cpp
    src/codec_func.cpp
    src/config_view.cpp
    src/core_func.cpp
    src/keyring_func.cpp
    src/packet_func.cpp
    src/placement_func.cpp
    src/verdict_func.cpp
)

set(SHELL_SOURCES
    src/http2_client.cpp
    src/http2_connection.cpp
    src/http2_server.cpp
    src/version_func.cpp
)

set(PROGRAMS
)

set(TEST_SOURCES
    tests/codec_test.cpp
    tests/http2_test.cpp
    tests/main_test.cpp
    tests/placement_test.cpp
)

set(BENCHES
)
