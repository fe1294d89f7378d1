# tarragon_package(name [lib ...]) adds the static library tarragon-<name>, built from all sources
# of the calling directory, and links it to the given libraries. Without sources, the library is an
# interface library.
function(tarragon_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    message(STATUS "Package ${name} has no sources yet")
    add_library(tarragon-${name} INTERFACE)
    target_include_directories(tarragon-${name} INTERFACE ${CMAKE_SOURCE_DIR}/Source)
    target_link_libraries(tarragon-${name} INTERFACE ${ARGN})
    return()
  endif()
  add_library(tarragon-${name} STATIC ${sources})
  target_include_directories(tarragon-${name} PUBLIC ${CMAKE_SOURCE_DIR}/Source)
  target_link_libraries(tarragon-${name} PUBLIC ${ARGN})
endfunction()

# tarragon_tests(name [lib ...]) adds the GoogleTest program test-<name>, built from all sources of
# the calling directory, and registers each of its tests with CTest. These macros hold paths for the
# tests: TARRAGON_TEST_DATA the calling directory, TARRAGON_SOURCE_DIR the source tree, and
# TARRAGON_BIN_DIR the folder of the built programs. The tests get the CTest properties in
# TARRAGON_TEST_PROPERTIES, if it is set.
function(tarragon_tests name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(test-${name} ${sources})
  target_include_directories(test-${name} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
  target_link_libraries(test-${name} PRIVATE ${ARGN} GTest::gmock GTest::gtest_main)
  target_compile_definitions(test-${name} PRIVATE
    TARRAGON_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}"
    TARRAGON_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    TARRAGON_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
  gtest_discover_tests(test-${name} TEST_PREFIX "${name}." DISCOVERY_MODE PRE_TEST
    PROPERTIES TIMEOUT 300 ${TARRAGON_TEST_PROPERTIES})
endfunction()
include(GoogleTest)
