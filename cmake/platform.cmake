# Programs for the platform: transparent flows (core), their shell, and the adapter in platform/. Only the C library is
# linked dynamically, which keeps start-up time and memory small.
find_library(BOOST_JSON_STATIC libboost_json.a REQUIRED)
find_library(BOOST_PROGRAM_OPTIONS_STATIC libboost_program_options.a REQUIRED)

add_library(hawthorncroft-transit STATIC ${TRANSIT_SOURCES})
target_include_directories(hawthorncroft-transit PUBLIC src)
target_include_directories(hawthorncroft-transit SYSTEM PUBLIC src/generated)

add_library(hawthorncroft-platform STATIC ${PLATFORM_SOURCES})
target_include_directories(hawthorncroft-platform PUBLIC platform)
target_link_libraries(hawthorncroft-platform PUBLIC hawthorncroft-transit ${BOOST_JSON_STATIC}
    ${BOOST_PROGRAM_OPTIONS_STATIC} Threads::Threads)

foreach(role balancer agent)
    add_executable(hawthorncroft-platform-${role} platform/${role}_main.cpp)
    target_link_libraries(hawthorncroft-platform-${role} PRIVATE hawthorncroft-platform)
    target_link_options(hawthorncroft-platform-${role} PRIVATE -static-libstdc++ -static-libgcc -Wl,--gc-sections)
endforeach()
